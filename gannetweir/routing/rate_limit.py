"""Limits on what a route may hold and begin, and when to come again for those who are over.

What is over is rejected at once and told a time of its own: the places that the limit will have are handed
out one after another, so that those who come again do not come together and do not find it full again.
"""

from __future__ import annotations

from gannetweir.routing.rules import LimitRule

SOONEST_US = 50_000  # nobody is told to come again sooner
REST = 0.5  # where no place can be foretold, anything from this part of the longest advice to the whole of it


class Limit:
    """The state behind one `LimitRule`. `longest_us` is the longest advice that clients take."""

    def __init__(self, rule: LimitRule, longest_us: int) -> None:
        self.rule, self.longest_us = rule, longest_us
        self.open = 0
        self.free_us = 0.0  # when the bucket will be full again
        self.slot_us = 0.0  # the last place that was handed out

    @property
    def _gap_us(self) -> float:
        return 1e6 / self.rule.setups_per_s

    def refuses(self, now_us: int) -> str:
        """Why one more would be over, or nothing. Changes nothing."""
        if self.rule.open and self.open >= self.rule.open:
            return "open"
        if self.rule.setups_per_s:
            room = (max(1, self.rule.burst) - 1) * self._gap_us
            if max(self.free_us, now_us) - now_us > room:
                return "setups-per-second"
        return ""

    def take(self, now_us: int) -> None:
        """One more begins."""
        self.open += 1
        if self.rule.setups_per_s:
            self.free_us = max(self.free_us, float(now_us)) + self._gap_us

    def resume(self) -> None:
        """One that stands already: it counts, but it is not begun here."""
        self.open += 1

    def give_back(self) -> None:
        """One has ended."""
        self.open = max(0, self.open - 1)

    def advice_us(self, now_us: int, draw: float) -> int:
        """When one that is over is to come again. `draw` is a random number from 0 to 1."""
        longest = max(1, self.longest_us)
        if self.rule.setups_per_s:
            first = max(self.slot_us, self.free_us, now_us + min(SOONEST_US, longest))
            if first + self._gap_us <= now_us + longest:
                self.slot_us = first + self._gap_us
                return max(1, int(first - now_us))
        return max(1, int(longest * (REST + (1.0 - REST) * draw)))

    def under(self, rule: LimitRule, longest_us: int) -> Limit:
        """This limit under another rule: what stands still counts."""
        self.rule, self.longest_us = rule, longest_us
        return self
