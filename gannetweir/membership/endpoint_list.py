"""The pool: discovery's list of backends, as the engine holds it, and what the operators laid over it by
hand. Knows nothing of how either came.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from gannetweir.membership.start_times import StartTimes
from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One backend: what the module learns of it, and where this relay reaches it."""

    entry: EndpointEntry
    address: str
    more_addresses: tuple[str, ...] = ()  # more addresses, where an installation's discovery tells them


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """The whole pool or changes to it."""

    version: int
    complete: bool
    endpoints: list[ListedEndpoint] = field(default_factory=list)
    older: bool = False  # than what was told before, by the same discovery's count


@dataclass(frozen=True, slots=True)
class OperatorOverrides:
    """What the operators said: the backends that are out, and when others were called back."""

    offline: frozenset[EndpointId] = frozenset()
    online_since: Mapping[str, int] = field(default_factory=dict)

    def newly_offline(self, later: OperatorOverrides) -> set[EndpointId]:
        """What has gone out from this to a later state, also if it was called back since."""
        again = {s for s, at in later.online_since.items() if at != self.online_since.get(s)}
        return (set(later.offline) | again) - self.offline

    def with_override(self, server: str, out: bool, now_us: int) -> OperatorOverrides:
        """After one more call. One that says what holds already changes nothing: a second call back would
        make a backend cold that has warmed up since.
        """
        if out == (server in self.offline):
            return self
        if out:
            return OperatorOverrides(
                self.offline | {server}, {s: at for s, at in self.online_since.items() if s != server}
            )
        return OperatorOverrides(self.offline - {server}, {**self.online_since, server: now_us})


def _not_back(was: EndpointEntry | None, member: ListedEndpoint) -> ListedEndpoint:
    """What an older list says of a backend: it may take away, but not bring back a start that was told to
    drain or to be gone.
    """
    now = member.entry
    if (
        was is None
        or was.state == EndpointStatus.READY
        or now.state != EndpointStatus.READY
        or now.started_us > was.started_us
    ):
        return member
    return replace(member, entry=replace(now, state=was.state))


class EndpointList:
    """Every backend that discovery has named, the ones that left included."""

    def __init__(self, hand: OperatorOverrides | None = None, wall_ahead_us: int | None = None) -> None:
        self.version = 0
        self.overrides = hand or OperatorOverrides()
        self.addresses: dict[EndpointId, str] = {}
        self.more_addresses: dict[
            EndpointId, tuple[str, ...]
        ] = {}  # the other addresses, of those that have some
        self.entries: dict[EndpointId, EndpointEntry] = {}  # as discovery tells them
        self.start_times = StartTimes(wall_ahead_us)
        self._now_us = 0
        self._heard = False  # discovery itself has told a list

    def apply(
        self, news: MembershipUpdate, now_us: int, known: bool = False, warm_within_us: int = 0
    ) -> list[EndpointEntry]:
        """Apply news; what the module is to hear of it. An entry without an address keeps the one it had.
        `known`: it is what the process was started with, and may be old. `warm_within_us`: the settings'.
        """
        self._now_us = now_us
        first, self._heard = not self._heard, self._heard or not known
        self.version, before = news.version, self.entries
        if news.older:
            news = replace(
                news, endpoints=[_not_back(before.get(m.entry.endpoint_id), m) for m in news.endpoints]
            )
        if news.complete:
            listed = {member.entry.endpoint_id for member in news.endpoints}
            for server in [server for server in self.entries if server not in listed]:
                self.entries[server] = replace(self.entries[server], state=EndpointStatus.REMOVED)
        for member in news.endpoints:
            self.entries[member.entry.endpoint_id] = member.entry
            if member.address:
                self.addresses[member.entry.endpoint_id] = member.address
            if member.more_addresses or member.entry.endpoint_id in self.more_addresses:
                self.more_addresses[member.entry.endpoint_id] = member.more_addresses
        entries = [member.entry for member in news.endpoints]
        if first and news.complete:
            self.start_times.learn_first(entries, now_us, warm_within_us)
        else:
            self.start_times.learn(entries, now_us)
        return [self._seen(member.entry) for member in news.endpoints]

    def apply_overrides(self, hand: OperatorOverrides, now_us: int) -> list[EndpointEntry]:
        """Lay the operators' word over the list; the whole list as it is now seen."""
        self.overrides, self._now_us = hand, now_us
        return [self._seen(entry) for entry in self.entries.values() if entry.state != EndpointStatus.REMOVED]

    def _seen(self, entry: EndpointEntry) -> EndpointEntry:
        """With its start on this process's clock. Out by hand is draining. One called back has started no
        earlier than the call: it restarted while it was out, and discovery may not know of that yet.
        """
        started_us = self.start_times.started_us(entry)
        if entry.endpoint_id in self.overrides.offline and entry.state == EndpointStatus.READY:
            return replace(entry, state=EndpointStatus.DRAINING, started_us=started_us)
        called_us = self.overrides.online_since.get(str(entry.endpoint_id), 0)
        if called_us:
            back_us = self.start_times.called_back_us(entry.endpoint_id, called_us, self._now_us)
            started_us = max(started_us, back_us) if started_us else back_us
        return entry if started_us == entry.started_us else replace(entry, started_us=started_us)

    def knows(self, server: EndpointId) -> bool:
        """Has discovery ever named it?"""
        return server in self.entries

    def address_of(self, server: EndpointId) -> str:
        """Where to reach a backend; empty for one never listed, which must not be sent to."""
        return self.addresses.get(server, "")

    def is_offline(self, server: EndpointId) -> bool:
        """Have the operators left it out?"""
        return server in self.overrides.offline

    def accepts_requests(self, server: EndpointId) -> bool:
        """May something new go there, as far as discovery and the operators have told?"""
        entry = self.entries.get(server)
        return (
            entry is not None and entry.state == EndpointStatus.READY and server not in self.overrides.offline
        )

    def started_us(self, server: EndpointId) -> int:
        """When the backend started last, as discovery tells it."""
        entry = self.entries.get(server)
        return entry.started_us if entry is not None else 0

    def has_ready_endpoint(self) -> bool:
        """Is there anything to send to?"""
        return any(map(self.accepts_requests, self.entries))
