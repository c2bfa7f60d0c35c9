"""When endpoints started, on this process's own monotonic clock. Slow start depends on it.

Discovery reports starts on its own clock, as Unix time. This machine's wall clock may be wrong or be stepped,
so it is never compared with those times. What is certain without it: the latest of all reported starts is not
after discovery's present moment, and from then on the monotonic clock measures how much time has passed. So
an endpoint is at least as old as the latest start is later than its own. An age that is too low costs a
little of a warmed-up endpoint's share of requests; one that is too high would overload an endpoint in slow
start.

When this process itself starts, it cannot distinguish a fleet that was started together long ago from one
that has just been started. If more than half of the endpoints would be in slow start by the rule above, and
the wall clock says that all of these have warmed up, the wall clock is believed: with the few other endpoints
alone the process could serve almost nobody.
"""

from __future__ import annotations

from collections.abc import Sequence

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus

# Two clocks that are both right differ by less than this, in microseconds. A start that is reported further
# ahead of the wall clock proves that the wall clock is behind.
MAX_CLOCK_SKEW_US = 1_000_000

START_AT_ZERO_US = -1  # in place of a start at exactly 0 on the own clock: 0 means that none is known


class StartTime:
    """One endpoint's start on both clocks, in microseconds; a value, never changed.

    A plain class: a dataclass would cost half a millisecond of every start of a relay.
    """

    __slots__ = ("discovery_us", "monotonic_us")

    def __init__(self, discovery_us: int, monotonic_us: int) -> None:
        self.discovery_us = discovery_us
        self.monotonic_us = monotonic_us


class StartTimes:
    """Converts times of discovery's clock to times of this process's clock; all are in microseconds.

    A start keeps the time that it was first converted to, so that an endpoint's age grows with the own clock.
    """

    def __init__(self, wall_offset_us: int | None = None) -> None:
        """`wall_offset_us`: by how much the wall clock was ahead of the own clock when the process started;
        None where there is no wall clock to compare with.
        """
        self._wall_offset_us = wall_offset_us
        self._latest_start_us = 0  # of all starts that were reported, on discovery's clock; 0: none yet
        self._latest_reported_us = 0  # when that one was reported, on the own clock
        self._start_times: dict[EndpointId, StartTime] = {}
        self._online_since_us: dict[tuple[EndpointId, int], int] = {}  # by endpoint and time of the override

    def record(self, entries: Sequence[EndpointEntry], now_us: int) -> None:
        """Record the starts that an update reports. Known ones are not converted again."""
        self._convert(entries, now_us, recompute=False)

    def record_first_snapshot(
        self, entries: Sequence[EndpointEntry], now_us: int, slow_start_window_us: int
    ) -> None:
        """Record the starts of the snapshot that the process was started with, or of discovery's first one.
        All of them are converted anew, as the snapshot of the start may have been old.
        `slow_start_window_us`: the age at which an endpoint has warmed up.
        """
        self._convert(entries, now_us, recompute=True)
        past_slow_start = self._past_slow_start_by_wall_clock(entries, now_us, slow_start_window_us)
        ready_count = sum(entry.state == EndpointStatus.READY for entry in entries)
        if 2 * len(past_slow_start) > ready_count:
            for entry in past_slow_start:
                monotonic_us = entry.started_us - (self._wall_offset_us or 0)
                self._start_times[entry.endpoint_id] = StartTime(
                    entry.started_us, monotonic_us or START_AT_ZERO_US
                )

    def _past_slow_start_by_wall_clock(
        self, entries: Sequence[EndpointEntry], now_us: int, slow_start_window_us: int
    ) -> list[EndpointEntry]:
        """The endpoints that may be in slow start by the reported starts, and are past it by the wall clock;
        none where the wall clock is known to be wrong.
        """
        if self._wall_offset_us is None:
            return []
        wall_us = now_us + self._wall_offset_us
        if any(entry.started_us > wall_us + MAX_CLOCK_SKEW_US for entry in entries):
            return []
        ready = [entry for entry in entries if entry.state == EndpointStatus.READY and entry.started_us]
        warming_up = [entry for entry in ready if now_us - self.started_us(entry) < slow_start_window_us]
        return [entry for entry in warming_up if wall_us - entry.started_us >= slow_start_window_us]

    def _convert(self, entries: Sequence[EndpointEntry], now_us: int, recompute: bool) -> None:
        reported = [entry for entry in entries if entry.started_us]
        latest_us = max((entry.started_us for entry in reported), default=0)
        if latest_us > self._discovery_clock_us(now_us):
            self._latest_start_us = latest_us
            self._latest_reported_us = now_us
        for entry in reported:
            known = self._start_times.get(entry.endpoint_id)
            if recompute or known is None or known.discovery_us != entry.started_us:
                monotonic_us = self._to_monotonic_clock(entry.started_us, now_us)
                self._start_times[entry.endpoint_id] = StartTime(entry.started_us, monotonic_us)

    def _discovery_clock_us(self, now_us: int) -> int:
        """A time that discovery's clock has reached for certain; 0 before any start was reported."""
        if not self._latest_start_us:
            return 0
        return self._latest_start_us + now_us - self._latest_reported_us

    def _to_monotonic_clock(self, started_us: int, now_us: int) -> int:
        age_us = self._discovery_clock_us(now_us) - started_us
        return (now_us - age_us) or START_AT_ZERO_US

    def started_us(self, entry: EndpointEntry) -> int:
        """When the endpoint started, on the own clock; 0 if its start is not known: long ago."""
        known = self._start_times.get(entry.endpoint_id)
        if not entry.started_us or known is None or known.discovery_us != entry.started_us:
            return 0
        return known.monotonic_us

    def online_since_us(self, endpoint_id: EndpointId, override_us: int, now_us: int) -> int:
        """Since when an endpoint is back online by an operator's call at `override_us`. That is the monotonic
        time of a process of this machine, so of the same clock; a time that lies ahead is of an earlier boot,
        and is taken as the moment at which it was first seen here.
        """
        return self._online_since_us.setdefault((endpoint_id, override_us), min(override_us, now_us))
