"""Start times of endpoints on this process's monotonic clock, on which slow start depends.

Discovery reports starts on its own clock, as Unix time. This machine's wall clock may be wrong or may be
stepped, so start times are not converted by it. One fact holds without it: the latest of all reported starts
is not later than discovery's current time, and from then on the monotonic clock measures the elapsed time. An
endpoint is therefore at least as old as the difference between the latest start and its own start. An age
that is too low costs a warmed-up endpoint a small part of its share of requests; an age that is too high
would overload an endpoint in slow start.

When this process itself starts, it cannot distinguish a fleet that was started together long ago from one
that has just been started. If more than half of the endpoints would be in slow start by the rule above, and
all of these have warmed up according to the wall clock, the wall clock is trusted: the few remaining
endpoints could serve almost no clients.
"""

from __future__ import annotations

from collections.abc import Sequence

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus

# Two correct clocks differ by less than this, in microseconds. A reported start that is further ahead of the
# wall clock proves that the wall clock is behind.
MAX_CLOCK_SKEW_US = 1_000_000

# Replaces a start at exactly 0 on the monotonic clock, since 0 means that no start is known.
START_AT_ZERO_US = -1


class StartTime:
    """The start of one endpoint on both clocks, in microseconds. Instances are not modified.

    A plain class: a dataclass would add half a millisecond to each start of a relay.
    """

    __slots__ = ("discovery_us", "monotonic_us")

    def __init__(self, discovery_us: int, monotonic_us: int) -> None:
        self.discovery_us = discovery_us
        self.monotonic_us = monotonic_us


class StartTimes:
    """Converts times of discovery's clock to times of this process's monotonic clock, all in microseconds.

    A start keeps the time to which it was first converted, so that an endpoint's age grows with the monotonic
    clock.
    """

    def __init__(self, wall_offset_us: int | None = None) -> None:
        """`wall_offset_us` is the wall clock minus the monotonic clock at the start of the process; None if
        there is no wall clock to compare with.
        """
        self._wall_offset_us = wall_offset_us
        self._latest_start_us = 0  # latest reported start, on discovery's clock; 0: none yet
        self._latest_reported_us = 0  # time of that report, on the monotonic clock
        self._start_times: dict[EndpointId, StartTime] = {}
        self._online_since_us: dict[tuple[EndpointId, int], int] = {}  # by endpoint and time of the override

    def record(self, entries: Sequence[EndpointEntry], now_us: int) -> None:
        """Record the starts that an update reports. Known starts are not converted again."""
        self._convert(entries, now_us, recompute=False)

    def record_first_snapshot(
        self, entries: Sequence[EndpointEntry], now_us: int, slow_start_window_us: int
    ) -> None:
        """Record the starts of the snapshot that the process was started with, or of discovery's first one.
        All of them are converted again, because the snapshot from the process start may have been old.

        `slow_start_window_us` is the age at which an endpoint has warmed up.
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
        """Return the endpoints that may be in slow start by the reported starts, but are past it by the wall
        clock; none if the wall clock is known to be wrong.
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
        """Return a time that discovery's clock has certainly reached; 0 before any start was reported."""
        if not self._latest_start_us:
            return 0
        return self._latest_start_us + now_us - self._latest_reported_us

    def _to_monotonic_clock(self, started_us: int, now_us: int) -> int:
        age_us = self._discovery_clock_us(now_us) - started_us
        return (now_us - age_us) or START_AT_ZERO_US

    def started_us(self, entry: EndpointEntry) -> int:
        """Return when the endpoint started, on the monotonic clock; 0 if unknown, which counts as
        long ago.
        """
        known = self._start_times.get(entry.endpoint_id)
        if not entry.started_us or known is None or known.discovery_us != entry.started_us:
            return 0
        return known.monotonic_us

    def online_since_us(self, endpoint_id: EndpointId, override_us: int, now_us: int) -> int:
        """Return since when an endpoint is back online after an operator's call at `override_us`. That is the
        monotonic time of some process on this machine, so it is on the same clock. A time in the future was
        recorded before a reboot, and is replaced by the time at which it was first seen here.
        """
        return self._online_since_us.setdefault((endpoint_id, override_us), min(override_us, now_us))
