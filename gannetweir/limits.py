"""Size, count and time limits of the relay, in one immutable value. A reload replaces the value.

The suffix of a field's name gives its unit: `_bytes`, `_mb`, `_us` for microseconds, `_per_s`. A name
without a suffix is a count. The platform's configuration sets `sockets`, `memory_mb` and
`connect_timeout_us`. Some other limits are derived from these and from the settings; the rest keep the
defaults below.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# The platform sends SIGKILL after SIGTERM with a delay of the clients' longest deadline, capped at
# `_MAX_KILL_DEADLINE_US`, plus `_KILL_GRACE_US`.
_MAX_KILL_DEADLINE_US = 3_000_000
_KILL_GRACE_US = 700_000

# A drain ends at least `_EXIT_MARGIN_US` before SIGKILL, so that the process has time to exit. The last
# planned migration comes at least `_MIGRATION_MARGIN_US` before the end of the drain, so that late migrations
# are still sent.
_EXIT_MARGIN_US = 100_000
_MIGRATION_MARGIN_US = 200_000

# One socket in eight is reserved for load probes and for the fixed descriptors. The minimum covers the fixed
# descriptors and six load probes.
_RESERVED_SOCKETS_DIVISOR = 8
_MIN_RESERVED_SOCKETS = 26
# Memory for each socket of a client or an attempt: its driver, its tasks and an incomplete line.
_SOCKET_BYTES = 18 << 10
# Sockets of clients and attempts on a machine whose memory is smaller than a process needs.
_MIN_CLIENT_SOCKETS = 64
# A socket's buffer takes at most half of the memory that is left for it; the other half is for one more read.
_BUFFERS_PER_SOCKET = 2
# Lower bound of `Limits.max_buffered_bytes`: a complete line fits even on the smallest machine.
_MIN_BUFFER_BYTES = 4096
# The answer margin is at most a quarter of a client's time budget; the rest is left for attempts.
_ANSWER_MARGIN_DIVISOR = 4
# Concurrent load probes are capped at this count even when more sockets are available.
_MAX_LOAD_PROBES = 32


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of a relay. The defaults suit a machine with 192 MB and 1,024 sockets."""

    # Machine resources
    sockets: int = 1024
    memory_mb: int = 192
    process_bytes: int = 28 << 20  # memory of the process without clients; measured when it starts to serve
    # Descriptors of two listeners, the event loop, standard input and output, three calls to discovery, the
    # files shared during a process handover, and the connections of the admin listener.
    fixed_sockets: int = 20

    # All connections
    max_line_bytes: int = 4096
    max_read_bytes: int = 8192
    # After this many reads of one socket without a wait, the reading task yields to the other tasks.
    max_consecutive_reads: int = 8
    discard_buffer_bytes: int = 65536  # one buffer, shared by all connections that discard input
    # While more than this is unsent on a socket, the peer whose data is forwarded to the socket is not read.
    max_buffered_bytes: int = 16384
    # A closing connection may take this long to send its last bytes and to receive the end of its peer.
    linger_us: int = 500_000
    # Upper bound on the total linger time of a peer that keeps sending. A client that sends 60 MB must see
    # the end of its connection within 6 s.
    discard_timeout_us: int = 3_500_000

    # Client connections
    listen_backlog: int = 512
    # A slow client may take 2 s for its first line. A client that sends no first line must see the end of its
    # connection within 3 s of connecting.
    first_line_timeout_us: int = 2_600_000
    max_pings_before_request: int = 64  # per connection
    eviction_grace_us: int = 300_000  # a client that connected more recently is evicted last
    # Upper bound per client on the unanswered lines whose answer delays are measured.
    max_unanswered_lines: int = 64
    max_executed_requests: int = 8192  # requests remembered so that they are not executed twice
    answer_margin_us: int = 40_000  # the final answer is sent this long before the client's deadline
    rejection_retry_after_us: int = 250_000  # Retry-After of a relay that is full or draining
    max_deadline_us: int = 3_600_000_000  # longer client deadlines are reduced to this value

    # Upstream connections
    connect_timeout_us: int = 250_000  # default; the settings may replace it
    resumption_timeout_us: int = 20_000_000  # limit for establishing a resumed connection
    resumption_retry_us: int = 200_000
    answer_timeout_us: int = 4_000_000  # an endpoint that leaves a line unanswered for longer counts as dead
    slow_answer_us: int = 1_000_000  # a line unanswered for longer is reported to the balancer
    watchdog_interval_us: int = 250_000  # interval between checks for unanswered lines
    delay_report_interval_us: int = 1_000_000  # minimum interval between delay reports for one endpoint
    placement_timer_retry_us: int = 1_000_000  # retry delay of a timer whose handling raised an exception

    # Load probes
    load_probe_timeout_us: int = 1_000_000

    # Endpoint watch
    endpoint_watch_line_bytes: int = 4 << 20
    # A healthy watch receives a heartbeat every 2 s. A change that a silent watch missed counts as known to
    # the relay 6 s after the silence began, and the grace period of a draining endpoint may be short. The sum
    # of this timeout, the balancer's backoff before its next poll and the response timeout must stay below
    # 6 s.
    endpoint_watch_silence_us: int = 2_750_000
    # Time until the head of the response, after which the next call is made beside this one. Discovery serves
    # one call at a time, so an early next call would add to its load. A call that hangs, the backoff and a
    # second call must also fit into the 6 s after discovery becomes reachable again.
    endpoint_watch_response_timeout_us: int = 2_750_000
    # Retry delay for a pushed endpoint list. It is short because a pushed change counts as known at once, and
    # the grace period of a draining endpoint may be short.
    endpoint_watch_retry_us: int = 100_000

    # Drain of this relay. The front, which distributes clients over the relays, keeps sending them for 0.4 s
    # after SIGTERM.
    drain_grace_us: int = 500_000  # time from SIGTERM to the first migration
    # The migrations are spread over this time, because migrating all clients at once would cause overload.
    drain_migration_us: int = 2_400_000
    # Time from SIGTERM to the last migrations. The process exits within `linger_us` after them.
    drain_end_us: int = 3_100_000

    # Operators' calls, overrides and logs
    max_admin_connections: int = 6  # the oldest connection is evicted for a further caller
    admin_idle_timeout_us: int = 6_000_000
    override_migration_us: int = 1_500_000  # the clients of an offline endpoint are migrated within this time
    # Interval between reads of the state that the processes of one relay share.
    handover_refresh_interval_us: int = 100_000
    log_lines_per_s: int = 20

    def with_drain_before_kill(self, longest_deadline_us: float) -> Limits:
        """Return these limits with the drain shortened to end before the platform sends SIGKILL.

        `longest_deadline_us` is the longest deadline of the request classes in the settings.
        """
        kill_us = int(min(longest_deadline_us, _MAX_KILL_DEADLINE_US)) + _KILL_GRACE_US
        linger_us = min(self.linger_us, kill_us // 4)
        end_us = min(self.drain_end_us, kill_us - linger_us - _EXIT_MARGIN_US)
        migration_us = max(
            0, min(self.drain_migration_us, end_us - self.drain_grace_us - _MIGRATION_MARGIN_US)
        )
        return replace(self, drain_migration_us=migration_us, drain_end_us=end_us, linger_us=linger_us)

    def for_process(self, process_bytes: int) -> Limits:
        """Return these limits for a process that takes this memory without clients, with buffers and reads
        reduced to the memory that is left for them.
        """
        limits = replace(self, process_bytes=process_bytes)
        buffer_bytes = max(_MIN_BUFFER_BYTES, min(self.max_buffered_bytes, limits._buffer_memory_bytes))
        read_bytes = min(self.max_read_bytes, buffer_bytes)
        return replace(limits, max_buffered_bytes=buffer_bytes, max_read_bytes=read_bytes)

    def answer_margin_for(self, time_budget_us: int) -> int:
        """Return how long before the end of a client's time budget the final answer is sent."""
        return min(self.answer_margin_us, time_budget_us // _ANSWER_MARGIN_DIVISOR)

    @property
    def reserved_sockets(self) -> int:
        """Number of sockets reserved for load probes and the fixed descriptors."""
        return max(_MIN_RESERVED_SOCKETS, self.sockets // _RESERVED_SOCKETS_DIVISOR)

    @property
    def max_load_probes(self) -> int:
        """Maximum number of concurrent load probes."""
        return min(_MAX_LOAD_PROBES, self.reserved_sockets - self.fixed_sockets)

    @property
    def _connection_memory_bytes(self) -> int:
        """Memory that is left for connections."""
        return max(0, (self.memory_mb << 20) - self.process_bytes)

    @property
    def client_sockets(self) -> int:
        """Number of sockets that clients and their attempts share, by the descriptors and by the memory. When
        none is free, a client that has not sent its first line is evicted for a new client or attempt.
        """
        by_memory = max(_MIN_CLIENT_SOCKETS, self._connection_memory_bytes // _SOCKET_BYTES)
        return max(2, min(self.sockets - self.reserved_sockets, by_memory))

    @property
    def _buffer_memory_bytes(self) -> int:
        """Memory for the unsent bytes of one socket if all sockets of clients and attempts are in use."""
        left_bytes = self._connection_memory_bytes // self.client_sockets - _SOCKET_BYTES
        return max(0, left_bytes) // _BUFFERS_PER_SOCKET

    @property
    def max_clients(self) -> int:
        """Maximum number of clients served at once. Each may need a second socket for its attempt."""
        return self.client_sockets // 2
