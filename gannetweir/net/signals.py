"""Signals of the process, each kind remembered until it has been handled.

The event loop hears of signals through a socket pair, a byte for each. While the loop is blocked the pair
fills after some hundreds, and what comes then is dropped, of whatever kind. So a handler of the interpreter's
own notes the kind, and the byte only wakes the loop.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import cast

import anyio

# In the order in which pending ones are handled: what ends the relay goes before what only prints or reloads.
HANDLED_SIGNALS = signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP


class SignalQueue:
    """The kinds of signals that have come and are still to be handled."""

    def __init__(self) -> None:
        self.pending: dict[signal.Signals, None] = {}
        self.arrived = anyio.Event()
        self.call_soon = _call_soon_from_handler()

    def record(self, number: int, _frame: FrameType | None) -> None:
        """The signal handler. It runs between any two steps of the program, so it only notes the kind and
        wakes the loop, also if that is asleep.
        """
        self.pending[signal.Signals(number)] = None
        self.call_soon(self._wake)

    def _wake(self) -> None:
        self.arrived.set()
        self.arrived = anyio.Event()

    async def __aiter__(self) -> AsyncIterator[signal.Signals]:
        """Each kind once for all that came of it before it is handled, in the order of `HANDLED_SIGNALS`."""
        while True:
            while self.pending:
                pending = list(self.pending)  # a copy: another may come meanwhile
                number = min(pending, key=HANDLED_SIGNALS.index)
                del self.pending[number]
                yield number
            await self.arrived.wait()


def _call_soon_from_handler() -> Callable[[Callable[[], None]], object]:
    """How a signal's handler has the event loop call something, whichever library runs it."""
    try:
        return asyncio.get_running_loop().call_soon_threadsafe
    except RuntimeError:
        import trio  # an embedding program's; the relay's own process runs on asyncio

        return cast(Callable[[Callable[[], None]], object], trio.lowlevel.current_trio_token().run_sync_soon)


@contextmanager
def handled_signals() -> Iterator[SignalQueue]:
    """Replace the handlers of `HANDLED_SIGNALS`, and unblock what was blocked since the start of the process.
    The handlers before are put back at the end.
    """
    queue = SignalQueue()
    previous_handlers = {number: signal.signal(number, queue.record) for number in HANDLED_SIGNALS}
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
    try:
        yield queue
    finally:
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
