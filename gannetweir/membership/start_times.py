"""When backends started, on this process's own clock.

Discovery tells starts on its clock (Unix time). This machine's wall clock may be wrong, or be stepped, so it
is never compared with those times. What can be known without it: of all starts that were told, the latest is
not after discovery's present moment, and from then on the monotonic clock says how much time has passed. So a
backend is at least as old as that latest start is later than its own. An age that is too low costs a little
of a warm backend's share; one that is too high would tip a cold one.

At its own start a process can't tell a fleet that was started together long ago from one that has just been.
If more than half of the backends would be cold by the rule above, and the wall clock says that all of these
are warm, it is believed: with the few others alone the process could serve nearly nobody.
"""

from __future__ import annotations

from collections.abc import Sequence

from gannetweir.placement.events import EndpointEntry, EndpointId, EndpointStatus

CLOCK_SLACK_US = 1_000_000  # two clocks that are right differ by less


class StartTimes:
    """Turns times of discovery's clock into times of this process's. All are in microseconds."""

    def __init__(self, wall_ahead_us: int | None = None) -> None:
        """`wall_ahead_us`: how far the wall clock was ahead of the own one at the start of the process; None:
        there is none to ask.
        """
        self._wall_ahead_us = wall_ahead_us
        self._latest_start_us = 0  # the latest start that was told, on discovery's clock
        self._latest_reported_us = 0  # when that was told, on the own clock
        self._start_times: dict[
            EndpointId, tuple[int, int]
        ] = {}  # of each backend: its start on either clock
        self._online_since_us: dict[tuple[EndpointId, int], int] = {}

    def record(self, entries: Sequence[EndpointEntry], now_us: int) -> None:
        """A list has come. Starts that are known already keep their time."""
        self._convert(entries, now_us, False)

    def record_first_snapshot(
        self, entries: Sequence[EndpointEntry], now_us: int, slow_start_window_us: int
    ) -> None:
        """The whole list that the process was started with, or discovery's first one. All is worked out anew:
        the one may be older than the other. `warm_within_us`: the age at which a backend is warm.
        """
        self._convert(entries, now_us, True)
        disputed = self._warm_by_wall_clock(entries, now_us, slow_start_window_us)
        if 2 * len(disputed) > sum(entry.state == EndpointStatus.READY for entry in entries):
            for entry in disputed:
                own_us = entry.started_us - (self._wall_ahead_us or 0)
                self._start_times[entry.endpoint_id] = entry.started_us, own_us or -1

    def _warm_by_wall_clock(
        self, entries: Sequence[EndpointEntry], now_us: int, slow_start_window_us: int
    ) -> list[EndpointEntry]:
        """The backends that may be cold by what was told, and are warm by the wall clock."""
        if self._wall_ahead_us is None:
            return []
        wall_us = now_us + self._wall_ahead_us
        if any(entry.started_us > wall_us + CLOCK_SLACK_US for entry in entries):
            return []  # it is behind for certain
        ready = [entry for entry in entries if entry.state == EndpointStatus.READY and entry.started_us]
        warming_up = [entry for entry in ready if now_us - self.started_us(entry) < slow_start_window_us]
        return [entry for entry in warming_up if wall_us - entry.started_us >= slow_start_window_us]

    def _convert(self, entries: Sequence[EndpointEntry], now_us: int, recompute: bool) -> None:
        reported = [entry for entry in entries if entry.started_us]
        latest_us = max((entry.started_us for entry in reported), default=0)
        if latest_us > self._discovery_clock_us(now_us):
            self._latest_start_us, self._latest_reported_us = latest_us, now_us
        for entry in reported:
            known_us, _ = self._start_times.get(entry.endpoint_id, (0, 0))
            if recompute or known_us != entry.started_us:
                self._start_times[entry.endpoint_id] = (
                    entry.started_us,
                    self._to_own_clock(entry.started_us, now_us),
                )

    def _discovery_clock_us(self, now_us: int) -> int:
        """A moment that discovery's clock has reached for certain; 0 before any start was told."""
        return self._latest_start_us + now_us - self._latest_reported_us if self._latest_start_us else 0

    def _to_own_clock(self, started_us: int, now_us: int) -> int:
        age_us = self._discovery_clock_us(now_us) - started_us
        return (now_us - age_us) or -1  # 0 means long ago

    def started_us(self, entry: EndpointEntry) -> int:
        """When a backend started, on the own clock; 0: long ago."""
        started_us, own_us = self._start_times.get(entry.endpoint_id, (0, 0))
        return own_us if entry.started_us and started_us == entry.started_us else 0

    def online_since_us(self, endpoint_id: EndpointId, override_us: int, now_us: int) -> int:
        """When operators called a backend back. The time is of a process of this machine, so of the same
        clock; one that lies ahead is of an earlier boot, and counts from when it was first seen here.
        """
        return self._online_since_us.setdefault((endpoint_id, override_us), min(override_us, now_us))
