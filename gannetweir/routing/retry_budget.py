"""A retry budget: further attempts are a share of the recent first tries, so they cannot feed on failure.

A count of attempts bounds one request; when most of a fleet fails, it multiplies the load by that count just
then. A share of recent traffic does not grow with the failures.
"""

from __future__ import annotations

from gannetweir.routing.rules import BudgetRule

PARTS = 10  # of the window; what falls out of it goes by parts


class Budget:
    """Counts over a sliding window, in parts: constant memory, no clock of its own."""

    def __init__(self, rule: BudgetRule) -> None:
        self.rule = rule
        self.first = [0] * PARTS
        self.again = [0] * PARTS
        self.part = 0  # number of the current part since the clock's start

    def _turn(self, now_us: int) -> int:
        part = now_us * PARTS // self.rule.window_us
        if part > self.part:  # a clock that steps back stays in the part where it was
            for old in range(self.part + 1, min(part, self.part + PARTS) + 1):
                self.first[old % PARTS] = self.again[old % PARTS] = 0
            self.part = part
        return self.part % PARTS

    def tried(self, now_us: int) -> None:
        """A first try: it earns its share."""
        self.first[self._turn(now_us)] += 1

    def left(self, now_us: int) -> float:
        """Further attempts that may start now."""
        self._turn(now_us)
        return max(float(self.rule.floor), self.rule.share * sum(self.first)) - sum(self.again)

    def spend(self, now_us: int) -> None:
        """One further attempt has started."""
        self.again[self._turn(now_us)] += 1

    def under(self, rule: BudgetRule) -> Budget:
        """This budget under another rule. With another window the parts mean something else: it starts anew,
        but counts what was spent, or a reload in a rush would hand out a whole window's worth again.
        """
        if rule.window_us == self.rule.window_us:
            self.rule = rule
            return self
        new = Budget(rule)
        new.part = self.part * self.rule.window_us // rule.window_us
        new.first[new.part % PARTS], new.again[new.part % PARTS] = sum(self.first), sum(self.again)
        return new
