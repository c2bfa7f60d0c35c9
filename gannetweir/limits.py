"""Every size, count and time limit of the relay, in one value that is filled at the start and handed down.

A field's name says what it bounds and in which unit: `_bytes`, `_us` for microseconds, `_per_s`; a bare
name is a count. The platform's configuration sets `sockets`, `memory_mb` and `connect_timeout_us`; some
others follow from these and from the settings, and the rest are as they are here.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# The platform sends SIGKILL this long after SIGTERM: the clients' longest deadline, but at most the first,
# and then the second.
_MAX_KILL_DEADLINE_US = 3_000_000
_KILL_GRACE_US = 700_000

# What a drain leaves free before SIGKILL, for the exit itself, and between the last planned migration and its
# end, for migrations that are late.
_EXIT_MARGIN_US = 100_000
_MIGRATION_MARGIN_US = 200_000

# Of the sockets, for load probes and the fixed ones: one in eight, and never fewer than the fixed ones and
# six probes need.
_RESERVED_SOCKETS_DIVISOR = 8
_MIN_RESERVED_SOCKETS = 26
_MAX_LOAD_PROBES = 32  # at once, however many sockets the machine gives


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in microseconds. The defaults suit a machine of 192 MB and 1,024 sockets."""

    # The machine.
    sockets: int = 1024
    memory_mb: int = 192
    # Two listeners, the event loop's own, standard input and output, two watches of the endpoint list, what
    # an upgrade shares, and the connections of the admin listener.
    fixed_sockets: int = 20

    # Any connection.
    max_line_bytes: int = 4096
    max_read_bytes: int = 8192
    max_consecutive_reads: int = 8  # of one socket, before all others have their turn
    discard_buffer_bytes: int = 65536  # for reading data that is discarded; one buffer, shared by all
    max_buffered_bytes: int = 16384  # unsent on one socket; past it its peer is no longer read
    linger_us: int = 500_000  # for a connection that is closing, to send and to receive its peer's end
    # As `linger_us`, where the peer goes on sending: one that sends 60 MB is owed an end within 6 s.
    discard_timeout_us: int = 3_500_000

    # A client's connection.
    listen_backlog: int = 512
    # A slow client may take 2 s; one that sends no first line is owed an end 3 s after it connected.
    first_line_timeout_us: int = 2_600_000
    max_pings_before_request: int = 64  # on one connection that never sends a first line
    eviction_grace_us: int = 300_000  # a client that connected more recently is evicted last
    max_unanswered_lines: int = 64  # of one client; the delays of answers to further lines are not measured
    answer_margin_us: int = 40_000  # the final answer is sent this long before the client's deadline
    rejection_retry_after_us: int = 250_000  # Retry-After of a relay that is full or draining
    max_deadline_us: int = 3_600_000_000  # a client's longer deadline counts as this one

    # An upstream connection.
    connect_timeout_us: int = 250_000  # the settings' value
    resumption_timeout_us: int = 20_000_000  # for a resumed connection to be established
    resumption_retry_us: int = 200_000
    answer_timeout_us: int = 4_000_000  # a line without an answer for so long: the endpoint is dead
    slow_answer_us: int = 1_000_000  # a line without an answer for so long is reported to the balancer
    watchdog_interval_us: int = 250_000  # between checks for lines without an answer
    delay_report_interval_us: int = 1_000_000  # between two reports of delays at one endpoint
    placement_timer_retry_us: int = 1_000_000  # a timer at which the balancer raised is due again after this

    # Load probes.
    load_probe_timeout_us: int = 1_000_000

    # The watch of the endpoint list.
    endpoint_watch_line_bytes: int = 4 << 20
    # A watch has a heartbeat every 2 s. What a silent one misses counts as known to the relay 6 s after it
    # fell silent, and a drain's grace period may be short: this, the balancer's wait before it polls again
    # and the response time-out have to fit into these 6 s.
    endpoint_watch_silence_us: int = 2_750_000
    # To the head of the response. As long as it can be: discovery serves one call at a time. A call that
    # hangs, the wait and a second call fit into the 6 s after discovery's return, too.
    endpoint_watch_response_timeout_us: int = 2_750_000
    # Where the list is pushed: a change counts as known at once, and a drain's grace period may be short.
    endpoint_watch_retry_us: int = 100_000

    # The drain of this relay. The front goes on sending clients for 0.4 s after SIGTERM.
    drain_grace_us: int = 500_000  # from SIGTERM to the first migration
    drain_migration_us: int = 2_400_000  # the migrations are spread over this: at once, they would overload
    drain_end_us: int = 3_100_000  # from SIGTERM to the last migrations; the exit follows within `linger_us`

    # Operators.
    max_admin_connections: int = 6  # of the admin listener; the oldest is evicted
    admin_idle_timeout_us: int = 6_000_000
    override_migration_us: int = 1_500_000  # the clients of an offline endpoint are migrated within this
    handover_refresh_interval_us: int = 100_000  # between looks at what another process of this relay shares
    log_lines_per_s: int = 20

    def with_drain_before_kill(self, longest_deadline_us: float) -> Limits:
        """These limits, with a drain that is over before the platform's SIGKILL. `longest_deadline_us`:
        the longest deadline of the settings' classes.
        """
        kill_us = int(min(longest_deadline_us, _MAX_KILL_DEADLINE_US)) + _KILL_GRACE_US
        linger_us = min(self.linger_us, kill_us // 4)
        end_us = min(self.drain_end_us, kill_us - linger_us - _EXIT_MARGIN_US)
        migration_us = max(
            0, min(self.drain_migration_us, end_us - self.drain_grace_us - _MIGRATION_MARGIN_US)
        )
        return replace(self, drain_migration_us=migration_us, drain_end_us=end_us, linger_us=linger_us)

    @property
    def reserved_sockets(self) -> int:
        """Sockets that clients and their attempts may not use: for load probes and the fixed ones."""
        return max(_MIN_RESERVED_SOCKETS, self.sockets // _RESERVED_SOCKETS_DIVISOR)

    @property
    def max_load_probes(self) -> int:
        """Load probes at once."""
        return min(_MAX_LOAD_PROBES, self.reserved_sockets - self.fixed_sockets)

    @property
    def client_sockets(self) -> int:
        """Sockets for clients and their attempts together. A client that has sent no first line yet is
        evicted for either.
        """
        return max(2, self.sockets - self.reserved_sockets)

    @property
    def max_clients(self) -> int:
        """Clients that can be served at once: each may need an attempt's socket beside its own."""
        return self.client_sockets // 2
