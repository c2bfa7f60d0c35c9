"""Registry of the connected clients: accepts them, finds them by request and removes them when they close."""

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
    """Owns the drivers of client connections.

    The engine's last command for a request removes the request from `by_request`.
    """

    def __init__(self, runtime: RelayRuntime) -> None:
        self.runtime = runtime
        self.by_request: dict[int, ClientConnectionDriver] = {}
        self.open_count = 0
        self.discard_buffer = bytearray(runtime.limits.discard_buffer_bytes)
        self.class_index_by_name = class_indexes(runtime.settings)
        self._removed = anyio.Event()

    def accept(self, sock: socket.socket) -> None:
        """Serve an accepted client. A client beyond the descriptor budget is rejected and closed at once, so
        that the process does not run out of descriptors.
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
        """Open the request of a client whose first line was received.

        The request is registered before the engine's commands are executed, because those refer to it. If
        another client has an open request with the same id, the engine opens none and the client fails.
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
        """Remove a client whose connection is closed."""
        self.open_count -= 1
        self._removed.set()
        self.by_request.pop(client.request_id, None)
        self.runtime.descriptor_budget.remove(client)

    async def wait_all_removed(self) -> None:
        """Return once no client is connected. Cancellation does not affect the connected clients."""
        while self.open_count:
            self._removed = anyio.Event()
            await self._removed.wait()


def class_indexes(settings: Settings) -> dict[str, int]:
    """Map the names of request classes, as clients send them, to their indexes.

    A class that a route derives from another class has the same name and is left out, because only the route
    selects it.
    """
    return {
        request_class.name: index
        for index, request_class in enumerate(settings.classes)
        if not request_class.route
    }
