"""The end of a relay: the drain that SIGTERM begins, and the exit once the engine has drained."""

from __future__ import annotations

import anyio

from gannetweir.net.client_registry import ClientRegistry
from gannetweir.net.listener import ClientListener
from gannetweir.net.runtime import RelayRuntime


class GracefulShutdown:
    """Ends the relay without resetting clients. The engine decides when the drain is over."""

    def __init__(self, runtime: RelayRuntime, clients: ClientRegistry) -> None:
        self.runtime, self.clients = runtime, clients
        self.listener: ClientListener  # from the time that the relay runs
        self.is_exiting = False

    def drain(self) -> None:
        """Begin the drain. Where the platform holds the listener no client is lost by not accepting it here:
        the process that replaces this one does. Elsewhere the front still sends clients for a while.
        """
        is_replaced = self.runtime.config.inherited_listener_fd is not None
        if is_replaced:
            self.listener.stop()
        self.runtime.run_engine_call(lambda now_us: self.runtime.engine.drain(now_us, is_replaced))

    def begin_exit(self) -> None:
        """The drain is over: no request is open, and the last answers are on their way."""
        if not self.is_exiting:
            self.is_exiting = True
            self.runtime.spawn(self._exit)

    async def _exit(self) -> None:
        """Reject the clients that have sent no request, those in the listener's queue as well, and cancel the
        relay's tasks once all have closed or `Limits.linger_us` is over: to end the process at once would
        reset them, and all that have not read their last answer.
        """
        linger_s = self.runtime.limits.linger_us / 1e6
        with anyio.move_on_after(linger_s):
            if not self.listener.inherited:  # else the queue is the next process's
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
