"""The pool: discovery's list of backends, as the engine holds it, and what the operators laid over it by
hand. Knows nothing of how either came."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from gannetweir import interface as i
from gannetweir.membership.start_times import StartTimes


@dataclass(frozen=True, slots=True)
class Member:
    """One backend: what the module learns of it, and where this relay reaches it."""

    entry: i.ServerEntry
    dial: str
    dials: tuple[str, ...] = ()  # more addresses, where an installation's discovery tells them


@dataclass(frozen=True, slots=True)
class PoolNews:
    """The whole pool or changes to it."""

    version: int
    whole: bool
    members: list[Member] = field(default_factory=list)
    older: bool = False  # than what was told before, by the same discovery's count


@dataclass(frozen=True, slots=True)
class Hand:
    """What the operators said: the backends that are out, and when others were called back."""

    out: frozenset[i.ServerId] = frozenset()
    back: Mapping[str, int] = field(default_factory=dict)

    def newly_out(self, later: Hand) -> set[i.ServerId]:
        """What has gone out from this to a later state, also if it was called back since."""
        again = {s for s, at in later.back.items() if at != self.back.get(s)}
        return (set(later.out) | again) - self.out

    def with_call(self, server: str, out: bool, now_us: int) -> Hand:
        """After one more call. One that says what holds already changes nothing: a second call back would
        make a backend cold that has warmed up since."""
        if out == (server in self.out):
            return self
        if out:
            return Hand(self.out | {server}, {s: at for s, at in self.back.items() if s != server})
        return Hand(self.out - {server}, {**self.back, server: now_us})


def _not_back(was: i.ServerEntry | None, member: Member) -> Member:
    """What an older list says of a backend: it may take away, but not bring back a start that was told to
    drain or to be gone."""
    now = member.entry
    if was is None or was.state == i.READY or now.state != i.READY or now.started_us > was.started_us:
        return member
    return replace(member, entry=replace(now, state=was.state))


class Pool:
    """Every backend that discovery has named, the ones that left included."""

    def __init__(self, hand: Hand | None = None, wall_ahead_us: int | None = None) -> None:
        self.version = 0
        self.hand = hand or Hand()
        self.dials: dict[i.ServerId, str] = {}
        self.more: dict[i.ServerId, tuple[str, ...]] = {}  # the other addresses, of those that have some
        self.entries: dict[i.ServerId, i.ServerEntry] = {}  # as discovery tells them
        self.start_times = StartTimes(wall_ahead_us)
        self._now_us = 0
        self._heard = False  # discovery itself has told a list

    def take(
        self, news: PoolNews, now_us: int, known: bool = False, warm_within_us: int = 0
    ) -> list[i.ServerEntry]:
        """Apply news; what the module is to hear of it. An entry without an address keeps the one it had.
        `known`: it is what the process was started with, and may be old. `warm_within_us`: the settings'."""
        self._now_us = now_us
        first, self._heard = not self._heard, self._heard or not known
        self.version, before = news.version, self.entries
        if news.older:
            news = replace(news, members=[_not_back(before.get(m.entry.server), m) for m in news.members])
        if news.whole:
            listed = {member.entry.server for member in news.members}
            for server in [server for server in self.entries if server not in listed]:
                self.entries[server] = replace(self.entries[server], state=i.GONE)
        for member in news.members:
            self.entries[member.entry.server] = member.entry
            if member.dial:
                self.dials[member.entry.server] = member.dial
            if member.dials or member.entry.server in self.more:
                self.more[member.entry.server] = member.dials
        entries = [member.entry for member in news.members]
        if first and news.whole:
            self.start_times.learn_first(entries, now_us, warm_within_us)
        else:
            self.start_times.learn(entries, now_us)
        return [self._seen(member.entry) for member in news.members]

    def lay(self, hand: Hand, now_us: int) -> list[i.ServerEntry]:
        """Lay the operators' word over the list; the whole list as it is now seen."""
        self.hand, self._now_us = hand, now_us
        return [self._seen(entry) for entry in self.entries.values() if entry.state != i.GONE]

    def _seen(self, entry: i.ServerEntry) -> i.ServerEntry:
        """With its start on this process's clock. Out by hand is draining. One called back has started no
        earlier than the call: it restarted while it was out, and discovery may not know of that yet."""
        started_us = self.start_times.started_us(entry)
        if entry.server in self.hand.out and entry.state == i.READY:
            return replace(entry, state=i.DRAINING, started_us=started_us)
        called_us = self.hand.back.get(str(entry.server), 0)
        if called_us:
            back_us = self.start_times.called_back_us(entry.server, called_us, self._now_us)
            started_us = max(started_us, back_us) if started_us else back_us
        return entry if started_us == entry.started_us else replace(entry, started_us=started_us)

    def knows(self, server: i.ServerId) -> bool:
        """Has discovery ever named it?"""
        return server in self.entries

    def dial(self, server: i.ServerId) -> str:
        """Where to reach a backend; empty for one never listed, which must not be sent to."""
        return self.dials.get(server, "")

    def is_out(self, server: i.ServerId) -> bool:
        """Have the operators left it out?"""
        return server in self.hand.out

    def may_send(self, server: i.ServerId) -> bool:
        """May something new go there, as far as discovery and the operators have told?"""
        entry = self.entries.get(server)
        return entry is not None and entry.state == i.READY and server not in self.hand.out

    def started_us(self, server: i.ServerId) -> int:
        """When the backend started last, as discovery tells it."""
        entry = self.entries.get(server)
        return entry.started_us if entry is not None else 0

    def ready(self) -> bool:
        """Is there anything to send to?"""
        return any(map(self.may_send, self.entries))
