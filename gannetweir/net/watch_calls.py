"""The calls to discovery that the driver of the endpoint watch has open, and which of them is the watch."""

from __future__ import annotations

import anyio


class WatchCalls:
    """At most three open calls, each with the scope that cancels it.

    Until the current call answers, up to two more stay open: an overdue call, and the watch at the previous
    address of discovery.
    """

    def __init__(self) -> None:
        self.current: anyio.CancelScope | None = None  # the watch, once it has answered
        self.has_answered = False  # the current call has received an update or a heartbeat
        self.overdue: anyio.CancelScope | None = None  # an earlier call without an answer
        self.replaced: anyio.CancelScope | None = None  # the watch at the previous address

    def open(self) -> anyio.CancelScope:
        """Add a call as the current one and return its scope. Another current call is left to the caller."""
        self.current, self.has_answered = anyio.CancelScope(), False
        return self.current

    def is_watch(self, scope: anyio.CancelScope) -> bool:
        """Return whether events of this call are to be applied."""
        return scope in (self.current, self.replaced)

    def make_current_overdue(self) -> None:
        """Keep the current call open without an answer, in place of an earlier one."""
        self.cancel_overdue()
        self.current, self.overdue = None, self.current

    def make_overdue_current(self) -> None:
        """Make the overdue call the current one, since it has answered first."""
        self.cancel_current()
        self.current, self.overdue, self.has_answered = self.overdue, None, False

    def record_answer(self) -> None:
        """Record that the current call has answered, and cancel the calls that stayed open until then."""
        self.has_answered = True
        self.cancel_overdue()
        self.cancel_replaced()

    def replace_current(self) -> None:
        """Keep the current watch open beside a call to another address; cancel what has not answered."""
        self.cancel_overdue()
        if self.current is not None and self.has_answered:
            self.replaced, self.current = self.current, None
        else:  # a second change of the address before the first one has answered
            self.cancel_current()

    def remove(self, scope: anyio.CancelScope) -> bool:
        """Remove a call that has ended. Return whether it was the current one, and not cancelled before."""
        if scope is self.current:
            self.current = None
            return True
        if scope is self.overdue:
            self.overdue = None
        elif scope is self.replaced:
            self.replaced = None
        return False

    def cancel_current(self) -> None:
        """Cancel the current call, if any."""
        if self.current is not None:
            self.current.cancel()
            self.current = None

    def cancel_overdue(self) -> None:
        """Cancel the overdue call, if any."""
        if self.overdue is not None:
            self.overdue.cancel()
            self.overdue = None

    def cancel_replaced(self) -> None:
        """Cancel the watch at the previous address, if any."""
        if self.replaced is not None:
            self.replaced.cancel()
            self.replaced = None
