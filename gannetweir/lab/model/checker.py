"""The rules alone: what clients and backends saw, held against what they are owed. Knows no relay.

Each party reports what happened on its own side. A broken rule is kept as a line that names it, at its time.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

MOST_ATTEMPTS = 6
DRAIN_US = 500_000
SLACK_US = 20_000  # the settings' answer slack
COLD_WINDOW_US = 1_500_000  # in which a cold server's budget is counted


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


@dataclass(slots=True)
class Cold:
    """A server that has started anew: what it may be sent, and what came in the window that ends now."""

    started_us: int
    per_s: float  # set-ups a second that it bears warm, by the stated multiple
    cold_from: float
    warm_us: int
    came: deque[tuple[int, bool]] = field(default_factory=deque)  # when, and from one that knew of the start

    def allowed(self, now_us: int) -> float:
        """Set-ups in one window, with the slack for chance."""
        warm = min(1.0, self.cold_from + (1.0 - self.cold_from) * (now_us - self.started_us) / self.warm_us)
        mean = self.per_s * warm * COLD_WINDOW_US / 1e6
        return float(mean + 2.0 * mean**0.5 + 2.0)


class Checker:
    """Counts what is owed and what was broken."""

    def __init__(self) -> None:
        self.stories: dict[int, Story] = {}
        # backends that drain or are gone: when a relay was told. One without a name stands for all.
        self.told_us: dict[tuple[str, str], int] = {}
        self.starts: dict[tuple[str, str], int] = {}  # the last start that a relay was told of
        self.cold: dict[str, Cold] = {}
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

    def attempt(self, number: int, attempt: int, server: str, now_us: int, relay: str = "") -> None:
        """A first line's last byte has arrived at a backend."""
        story = self.stories[number]
        story.attempts += 1
        self.counts["sent"] += 1
        if story.out:
            self._break("overlap", number, now_us, f"at {server} while one is out at {story.out}")
        if story.attempts > MOST_ATTEMPTS:
            self._break("attempts", number, now_us, f"{story.attempts} of them")
        told_us = self.told_us.get((relay, server), now_us)
        if now_us > told_us + DRAIN_US:
            late = (now_us - told_us) / 1000
            self._break("drain", number, now_us, f"sent to {server} {late:.0f} ms after its drain was told")
        if (cold := self.cold.get(server)) is not None:
            self._count(cold, number, server, now_us, self.starts.get((relay, server), 0) >= cold.started_us)
        story.out[attempt] = server

    def _count(self, cold: Cold, number: int, server: str, now_us: int, knew: bool) -> None:
        """A cold server falls by what all send; the rule is broken by those that knew of its start."""
        cold.came.append((now_us, knew))
        while cold.came[0][0] <= now_us - COLD_WINDOW_US:
            cold.came.popleft()
        count, most = len(cold.came), cold.allowed(now_us)
        self.counts["cold_share"] = max(self.counts["cold_share"], int(100 * count / most))
        if count > most and 3 * sum(knew for _, knew in cold.came) > 2 * count:
            text = f"{count} set-ups at {server} in a window that bears {most:.1f}"
            self._break("cold", number, now_us, text)
            cold.came.clear()

    def attempt_ended(self, number: int, attempt: int) -> None:
        """It was answered, or given up by an end of its connection."""
        self.stories[number].out.pop(attempt, None)

    def told(self, server: str, leaves: bool, now_us: int, relay: str = "", started_us: int = 0) -> None:
        """A relay was told that a backend drains or is gone, or that it is ready; and its last start."""
        if leaves:
            self.told_us.setdefault((relay, server), now_us)
        else:
            self.told_us.pop((relay, server), None)
        self.starts[relay, server] = started_us

    def started(self, server: str, cold: Cold) -> None:
        """A backend has started anew."""
        self.cold[server] = cold

    def cut_off(self, number: int, now_us: int) -> None:
        """A relay ended in good order and still held a connection that stood."""
        self._break("cut off", number, now_us, "without MOVE")

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
