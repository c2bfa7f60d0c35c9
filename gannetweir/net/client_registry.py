"""The clients that are connected now: accepted, found by their request, and removed at their end."""

from __future__ import annotations

import socket

import anyio

from gannetweir.net.client_connection import ClientConnectionDriver
from gannetweir.net.runtime import RelayRuntime
from gannetweir.net.sockets import set_nonblocking_nodelay
from gannetweir.net.transport import Transport
from gannetweir.placement.settings import Settings
from gannetweir.proto.client_connection import FirstLine, rejection_line


class ClientRegistry:
    """Owns the drivers of clients' connections. The engine's last command for a request removes its entry."""

    def __init__(self, runtime: RelayRuntime) -> None:
        self.runtime = runtime
        self.by_request: dict[int, ClientConnectionDriver] = {}
        self.open_count = 0
        self.discard_buffer = bytearray(runtime.limits.discard_buffer_bytes)
        self.class_index_by_name = class_indexes(runtime.settings)
        self._removed = anyio.Event()

    def accept(self, sock: socket.socket) -> None:
        """Serve a client that was accepted. One past the descriptor budget is answered at once and closed,
        before the descriptors run out.
        """
        runtime = self.runtime
        with runtime.guarded():
            set_nonblocking_nodelay(sock)
            has_capacity = runtime.descriptor_budget.make_capacity()
            transport = Transport(sock, runtime.limits, runtime.spawn, runtime.descriptor_count)
            if has_capacity:
                self.open_count += 1
                client = ClientConnectionDriver(runtime, self, transport)
                runtime.descriptor_budget.record_accepted(client)
                runtime.spawn(client.run)
            else:
                runtime.engine.counters.add("connections_rejected")
                transport.write(rejection_line(runtime.limits.rejection_retry_after_us))
                transport.close_now(self.discard_buffer)

    def open_request(self, client: ClientConnectionDriver, first_line: FirstLine) -> None:
        """A client's first line is in. Its request must be known here before the engine's commands are
        executed; where another client's open request has the same id, this one fails without the engine.
        """
        runtime = self.runtime
        runtime.descriptor_budget.record_request(client)
        client.request_id = runtime.engine.request_opened(
            first_line.request, first_line.current_endpoint, runtime.clock(), first_line.client_id
        )
        if client.request_id:
            self.by_request[client.request_id] = client
        else:
            client.end_failed()
        runtime.execute_commands()

    def remove_client(self, client: ClientConnectionDriver) -> None:
        """A client's connection is closed."""
        self.open_count -= 1
        self._removed.set()
        self.by_request.pop(client.request_id, None)
        self.runtime.descriptor_budget.remove(client)

    async def wait_all_removed(self) -> None:
        """Return once no client is connected. Cancelling leaves those that are connected as they are."""
        while self.open_count:
            self._removed = anyio.Event()
            await self._removed.wait()


def class_indexes(settings: Settings) -> dict[str, int]:
    """Indexes of the request classes by the names that clients use; a class that a route derives from
    another has the same name, and is the route's to choose.
    """
    return {
        request_class.name: index
        for index, request_class in enumerate(settings.classes)
        if not request_class.route
    }
