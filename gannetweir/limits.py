"""The one type that holds every size, count and time of the relay. Filled at start, handed down."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, times in microseconds. The defaults suit a machine of 192 MB and 1,024 sockets."""

    # What the machine gives.
    sockets: int = 1024
    memory_mb: int = 192
    # two listeners, the event loop's own, standard input and output, two pool watches, what an upgrade
    # shares, and the operators' callers
    fixed_sockets: int = 20
    # Sizes.
    max_line_bytes: int = 4096
    max_read_bytes: int = 8192
    max_consecutive_reads: int = 8  # of one socket, before all others have their turn
    discard_buffer_bytes: int = 65536  # read at once, into one buffer for all, of what is not wanted any more
    max_buffered_bytes: int = 16384  # unsent bytes on one socket past which its peer is no longer read
    endpoint_watch_line_bytes: int = 4 << 20
    listen_backlog: int = 512
    max_unanswered_lines: int = 64  # lines of one client whose answers are waited for
    # A virtual server.
    first_line_timeout_us: int = (
        2_600_000  # true ones may take 2 s; one without it is owed an end 3 s after it came
    )
    eviction_grace_us: int = 300_000  # a client that has only just come gives way last
    max_pings_before_request: int = 64  # asked on one connection that never sends a first line
    linger_us: int = 500_000  # how long a closing connection may take to send and to hear the other end
    discard_timeout_us: int = (
        3_500_000  # the same for one that goes on sending: 60 MB are owed an end within 6 s
    )
    answer_margin_us: int = 40_000  # the final answer leaves this long before the client gives up
    rejection_retry_after_us: int = 250_000  # when to come again if this relay is full or about to leave
    max_deadline_us: int = 3_600_000_000
    # A server-side flow.
    connect_timeout_us: int = 250_000  # the settings' connect time-out
    resumption_timeout_us: int = 20_000_000  # how long a resumed connection may take to come up
    resumption_retry_us: int = 200_000
    answer_timeout_us: int = 4_000_000  # a line without an answer for so long: the backend is dead
    slow_answer_us: int = 1_000_000  # without an answer for so long, the module is told
    watchdog_interval_us: int = 250_000
    delay_report_interval_us: int = 1_000_000  # delay notes come at most this often for a backend
    placement_timer_retry_us: int = 1_000_000  # a timer on which the module failed is given to it again
    # Probes.
    load_probe_timeout_us: int = 1_000_000
    # The pool.
    # What a silent watch misses counts as told 6 s after it fell silent, and a drain's grace may be short:
    # this, the module's wait before it asks again and the call have to fit. A watch beats every 2 s.
    endpoint_watch_silence_us: int = 2_750_000
    # As long as it can be: discovery takes one call at a time. A call that hangs, the wait and a whole second
    # call fit the 6 s after discovery's return, too.
    endpoint_watch_response_timeout_us: int = 2_750_000  # to the head of the answer
    # Where the list is pushed: what its agent has counts as told, and a drain's grace may be short.
    endpoint_watch_retry_us: int = 100_000
    # The end.
    drain_grace_us: int = 500_000  # from SIGTERM to the first move: the front goes on sending for 0.4 s
    drain_migration_us: int = (
        2_400_000  # the moves are spread over this long: all at once, they would overload
    )
    drain_end_us: int = 3_100_000  # from SIGTERM to the last moves; the exit is within a linger of it
    # The operators' door.
    max_admin_connections: int = 6  # at once; the oldest gives way
    admin_idle_timeout_us: int = 6_000_000
    override_migration_us: int = (
        1_500_000  # the clients of a backend that is taken out are moved within this time
    )
    # An upgrade.
    handover_refresh_interval_us: int = 100_000  # how often what the other process shares is looked at
    # Logs.
    log_lines_per_s: int = 20  # a second

    def with_drain_before_kill(self, patience_us: float) -> Limits:
        """The same, with a drain that is over before SIGKILL: that comes once the clients' longest deadline,
        or 3 s, and 0.7 s more have passed.
        """
        kill_us = int(min(patience_us, 3_000_000)) + 700_000
        linger_us = min(self.linger_us, kill_us // 4)
        end_us = min(self.drain_end_us, kill_us - linger_us - 100_000)
        moves_us = max(0, min(self.drain_migration_us, end_us - self.drain_grace_us - 200_000))
        return replace(self, drain_migration_us=moves_us, drain_end_us=end_us, linger_us=linger_us)

    @property
    def reserved_sockets(self) -> int:
        """Kept from clients and flows: for probes and the fixed ones."""
        return max(26, self.sockets // 8)

    @property
    def max_load_probes(self) -> int:
        """Probes at once."""
        return min(32, self.reserved_sockets - self.fixed_sockets)

    @property
    def client_sockets(self) -> int:
        """For clients and their flows together; what waits for a first line has to give way to either."""
        return max(2, self.sockets - self.reserved_sockets)

    @property
    def max_clients(self) -> int:
        """The virtual servers that fit: each may need a flow beside its own socket."""
        return self.client_sockets // 2
