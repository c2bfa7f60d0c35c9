"""Peers for measuring a relay: a backend that answers at once, and a proxy that only copies bytes.

    python -m gannetweir.lab.scale.comparison_peers backend|proxy PORT [BACKEND_PORT]

The relay's cost is compared with the proxy's. The proxy uses the same event loop and the same transport as
the relay, so the difference is the cost of what a relay does with lines.
"""

from __future__ import annotations

import asyncio
import sys

import anyio

from gannetweir.lab.emulator.backend import spawn_in
from gannetweir.limits import Limits
from gannetweir.net.sockets import accept_connection, connect, set_nonblocking_nodelay, tcp_socket
from gannetweir.net.transport import Transport

# The reported number of connections is so large that one more makes no difference to the balancer.
LOAD_REPORT = b"PONG tps=1,concurrent=90000,x0=0.2\r\n"


class Backend(asyncio.Protocol):
    """Accepts every first line, reports its load and returns any other line. `PUSH n us` makes the backend
    send n lines on its own, one every `us` microseconds.
    """

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.partial_line = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport of a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer each complete line."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            self._line(line)

    def _line(self, line: bytes) -> None:
        if line.startswith(b"OPEN "):
            self.transport.write(b"UP r\r\n")
        elif line.startswith(b"STATS"):
            self.transport.write(LOAD_REPORT)
        elif line.startswith(b"PUSH "):
            _, count, interval_us = line.split()
            self._push_lines(int(count), int(interval_us) / 1e6)
        else:
            self.transport.write(line + b"\r\n")

    def _push_lines(self, remaining: int, interval_s: float) -> None:
        if remaining and not self.transport.is_closing():
            self.transport.write(b"news of a topic, as long as a short one\r\n")
            asyncio.get_running_loop().call_later(interval_s, self._push_lines, remaining - 1, interval_s)


async def serve_backend(port: int) -> None:
    """Serve on a port until the process is ended."""
    server = await asyncio.get_running_loop().create_server(Backend, "127.0.0.1", port, backlog=1024)
    await server.serve_forever()


async def _copy(source: Transport, sink: Transport) -> None:
    try:
        while data := await source.read():
            sink.write(data)
            await sink.wait_drained()
    except OSError:
        pass
    sink.close()
    source.close()


async def serve_proxy(port: int, backend: int) -> None:
    """Copy bytes between each client connection and a separate connection to the backend, until the process
    is ended.
    """
    limits = Limits()
    listener = tcp_socket("127.0.0.1")
    listener.bind(("127.0.0.1", port))
    listener.listen(1024)
    async with anyio.create_task_group() as tasks:
        spawn = spawn_in(tasks)

        async def serve_client(client: Transport) -> None:
            server = Transport(tcp_socket("127.0.0.1"), limits, spawn)
            await connect(server.sock, ("127.0.0.1", backend))
            tasks.start_soon(_copy, server, client)
            await _copy(client, server)

        while True:
            sock = await accept_connection(listener)
            set_nonblocking_nodelay(sock)
            tasks.start_soon(serve_client, Transport(sock, limits, spawn))


def main(argv: list[str]) -> None:
    """Run the backend or the proxy, whichever the first argument names."""
    if argv[0] == "backend":
        asyncio.run(serve_backend(int(argv[1])))
    else:
        anyio.run(serve_proxy, int(argv[1]), int(argv[2]))


if __name__ == "__main__":
    main(sys.argv[1:])
