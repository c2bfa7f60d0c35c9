"""The rules alone: what clients and backends saw, held against what they are owed. Knows no relay.

Each party reports what happened on its own side. A broken rule is kept as a line that names it, at its time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

MOST_ATTEMPTS = 6
DRAIN_US = 500_000
SLACK_US = 20_000  # the settings' answer slack


@dataclass(slots=True)
class Story:
    """One request of a client's: what it asked and what became of it."""

    cls: str
    sent_us: int
    give_up_us: int
    first: bool  # not a client's own retry
    attempts: int = 0
    out: dict[int, str] = field(default_factory=dict)  # attempts that are out now, and where
    answers: list[str] = field(default_factory=list)
    answered_us: int = -1
    ended: bool = False  # the client left, or nothing more is owed


class Checker:
    """Counts what is owed and what was broken."""

    def __init__(self) -> None:
        self.stories: dict[int, Story] = {}
        self.told_us: dict[str, int] = {}  # backends that drain or are gone: when the relays were told
        self.broken: list[str] = []
        self.counts: Counter[str] = Counter()

    def _break(self, rule: str, number: int, now_us: int, text: str) -> None:
        self.counts[rule] += 1
        if len(self.broken) < 100:
            self.broken.append(f"{now_us / 1e6:.3f} s: request {number}: {rule}: {text}")

    # ---- what the client sees

    def asked(self, number: int, cls: str, give_up_us: int, first: bool, now_us: int) -> None:
        """A first line's last byte has been written."""
        self.stories[number] = Story(cls, now_us, give_up_us, first)
        self.counts["first" if first else "again"] += 1

    def answered(self, number: int, answer: str, now_us: int) -> None:
        """`up`, `busy` or `err` has come."""
        story = self.stories[number]
        story.answers.append(answer)
        self.counts[answer] += 1
        if len(story.answers) > 1:
            self._break("answers", number, now_us, f"{story.answers} in all")
            return
        story.answered_us = now_us
        if now_us > story.sent_us + story.give_up_us + SLACK_US:
            late = (now_us - story.sent_us - story.give_up_us) / 1000
            self._break("late", number, now_us, f"{answer} {late:.1f} ms after {story.cls} gave up")

    def left(self, number: int) -> None:
        """The client ended its connection: nothing more is owed."""
        self.stories[number].ended = True

    # ---- what backends see

    def attempt(self, number: int, attempt: int, server: str, now_us: int) -> None:
        """A first line's last byte has arrived at a backend."""
        story = self.stories[number]
        story.attempts += 1
        self.counts["sent"] += 1
        if story.out:
            self._break("overlap", number, now_us, f"at {server} while one is out at {story.out}")
        if story.attempts > MOST_ATTEMPTS:
            self._break("attempts", number, now_us, f"{story.attempts} of them")
        if server in self.told_us and now_us > self.told_us[server] + DRAIN_US:
            late = (now_us - self.told_us[server]) / 1000
            self._break("drain", number, now_us, f"sent to {server} {late:.0f} ms after its drain was told")
        story.out[attempt] = server

    def attempt_ended(self, number: int, attempt: int) -> None:
        """It was answered, or given up by an end of its connection."""
        self.stories[number].out.pop(attempt, None)

    def told(self, server: str, leaves: bool, now_us: int) -> None:
        """The relays were told that a backend drains or is gone, or that it is ready."""
        if leaves:
            self.told_us.setdefault(server, now_us)
        else:
            self.told_us.pop(server, None)

    # ---- the end

    def close(self, now_us: int) -> list[str]:
        """All that was broken; what was never answered is found now."""
        for number, story in self.stories.items():
            if not story.answers and not story.ended and now_us > story.sent_us + story.give_up_us + SLACK_US:
                self._break("unanswered", number, now_us, f"a {story.cls}")
        return self.broken

    def worst_us(self, cls: str) -> int:
        """The longest that a final answer took, in a class."""
        return max(
            (s.answered_us - s.sent_us for s in self.stories.values() if s.cls == cls and s.answered_us >= 0),
            default=0,
        )
