"""Signal handling that records each kind of signal until it has been handled.

The event loop is notified of signals through a socket pair, with one byte for each signal. While the loop is
blocked the pair is full after some hundreds of signals, and further ones of any kind are dropped. A Python
signal handler therefore records the kind, and the byte only wakes the loop.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import cast

import anyio

# Pending signals are handled in this order, so that the end of the relay precedes printing and reloading.
HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP


class SignalQueue:
    """The kinds of signals that were received and are not handled yet."""

    def __init__(self) -> None:
        self.pending: dict[signal.Signals, None] = {}
        self.arrived = anyio.Event()
        self.call_soon = _call_soon_from_handler()

    def record(self, number: int, _frame: FrameType | None) -> None:
        """Handle a signal. The interpreter may call this between any two bytecode instructions, so it only
        records the kind and wakes the event loop.
        """
        self.pending[signal.Signals(number)] = None
        self.call_soon(self._wake)

    def _wake(self) -> None:
        self.arrived.set()
        self.arrived = anyio.Event()

    async def __aiter__(self) -> AsyncIterator[signal.Signals]:
        """Yield pending kinds in the order of `HANDLED_SIGNALS`, once for all signals of a kind so far."""
        while True:
            while self.pending:
                pending = list(self.pending)  # a copy, because a signal may be recorded at any time
                number = min(pending, key=HANDLED_SIGNALS.index)
                del self.pending[number]
                yield number
            await self.arrived.wait()


def _call_soon_from_handler() -> Callable[[Callable[[], None]], object]:
    """Return the function with which a signal handler schedules a call in the running event loop."""
    try:
        return asyncio.get_running_loop().call_soon_threadsafe
    except RuntimeError:
        import trio  # only an embedding program uses trio; the relay process runs on asyncio

        return cast(Callable[[Callable[[], None]], object], trio.lowlevel.current_trio_token().run_sync_soon)


@contextmanager
def handled_signals() -> Iterator[SignalQueue]:
    """Handle `HANDLED_SIGNALS` within the context, and unblock those that are blocked since process start.

    The previous handlers are restored at the end.
    """
    queue = SignalQueue()
    previous_handlers = {number: signal.signal(number, queue.record) for number in HANDLED_SIGNALS}
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    try:
        yield queue
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
