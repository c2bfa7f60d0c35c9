"""Graceful shutdown of a relay: the drain that SIGTERM starts, and the exit once the engine has drained."""

from __future__ import annotations

import anyio

from gannetweir.net.client_registry import ClientRegistry
from gannetweir.net.listener import ClientListener
from gannetweir.net.runtime import RelayRuntime


class GracefulShutdown:
    """Stops the relay without resetting clients. The engine decides when the drain is over."""

    def __init__(self, runtime: RelayRuntime, clients: ClientRegistry) -> None:
        self.runtime, self.clients = runtime, clients
        self.listener: ClientListener  # set when the relay starts to run
        self.is_exiting = False

    def drain(self) -> None:
        """Start the drain.

        With an inherited listener this process stops accepting at once, because the replacing process accepts
        from the same socket. Without one, the front (which distributes clients over the relays) keeps sending
        clients for a while, so accepting continues.
        """
        is_replaced = self.runtime.config.inherited_listener_fd is not None
        if is_replaced:
            self.listener.stop()
        self.runtime.run_engine_call(lambda now_us: self.runtime.engine.drain(now_us, is_replaced))

    def begin_exit(self) -> None:
        """Start the exit after the drain, when no request is open and the last answers have been written."""
        if not self.is_exiting:
            self.is_exiting = True
            self.runtime.spawn(self._exit)

    async def _exit(self) -> None:
        """Reject the clients that have sent no request, including those in the accept queue, and cancel the
        relay's tasks once all clients are closed or `Limits.linger_us` is over.

        Ending the process at once would reset these clients and all clients that have not read their last
        answer.
        """
        linger_s = self.runtime.limits.linger_us / 1e6
        with anyio.move_on_after(linger_s):
            if not self.listener.inherited:  # the next process serves the queue of an inherited listener
                await self._close_listener(linger_s / 2)
            for client in list(self.runtime.descriptor_budget.awaiting_first_line):
                client.close_before_request()
            await self.clients.wait_all_removed()
        self.runtime.tasks.cancel_scope.cancel()

    async def _close_listener(self, drain_queue_s: float) -> None:
        self.listener.stop()
        await self.listener.stopped.wait()
        await self.listener.drain_accept_queue(drain_queue_s)
        self.listener.close()
