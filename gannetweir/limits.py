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
    line_bytes: int = 4096
    read_bytes: int = 8192
    reads_at_once: int = 8  # of one socket, before all others have their turn
    waste_bytes: int = 65536  # read at once, into one buffer for all, of what is not wanted any more
    buffer_bytes: int = 16384  # unsent bytes on one socket past which its peer is no longer read
    pool_line_bytes: int = 4 << 20
    backlog: int = 512
    unanswered_lines: int = 64  # lines of one client whose answers are waited for
    # A virtual server.
    first_line_us: int = 2_600_000  # true ones may take 2 s; one without it is owed an end 3 s after it came
    settle_us: int = 300_000  # a client that has only just come gives way last
    first_pings: int = 64  # asked on one connection that never sends a first line
    linger_us: int = 500_000  # how long a closing connection may take to send and to hear the other end
    waste_us: int = 3_500_000  # the same for one that goes on sending: 60 MB are owed an end within 6 s
    answer_margin_us: int = 40_000  # the final answer leaves this long before the client gives up
    reject_retry_us: int = 250_000  # when to come again if this relay is full or about to leave
    longest_deadline_us: int = 3_600_000_000
    # A server-side flow.
    connect_us: int = 250_000  # the settings' connect time-out
    resume_us: int = 20_000_000  # how long a resumed connection may take to come up
    resume_retry_us: int = 200_000
    answer_silence_us: int = 4_000_000  # a line without an answer for so long: the backend is dead
    answer_late_us: int = 1_000_000  # without an answer for so long, the module is told
    watchdog_us: int = 250_000
    delay_note_us: int = 1_000_000  # delay notes come at most this often for a backend
    module_again_us: int = 1_000_000  # a timer on which the module failed is given to it again
    # Probes.
    probe_us: int = 1_000_000
    # The pool.
    # What a silent watch misses counts as told 6 s after it fell silent, and a drain's grace may be short:
    # this, the module's wait before it asks again and the call have to fit. A watch beats every 2 s.
    pool_silence_us: int = 2_750_000
    # As long as it can be: discovery takes one call at a time. A call that hangs, the wait and a whole second
    # call fit the 6 s after discovery's return, too.
    pool_call_us: int = 2_750_000  # to the head of the answer
    # Where the list is pushed: what its agent has counts as told, and a drain's grace may be short.
    pool_push_retry_us: int = 100_000
    # The end.
    drain_us: int = 500_000  # from SIGTERM to the first move: the front goes on sending for 0.4 s
    drain_moves_us: int = 2_400_000  # the moves are spread over this long: all at once, they would overload
    drain_end_us: int = 3_100_000  # from SIGTERM to the last moves; the exit is within a linger of it
    # The operators' door.
    admin_callers: int = 6  # at once; the oldest gives way
    admin_idle_us: int = 6_000_000
    hand_moves_us: int = 1_500_000  # the clients of a backend that is taken out are moved within this time
    # An upgrade.
    handover_us: int = 100_000  # how often what the other process shares is looked at
    # Logs.
    log_lines: int = 20  # a second

    def within(self, patience_us: float) -> Limits:
        """The same, with a drain that is over before SIGKILL: that comes once the clients' longest deadline,
        or 3 s, and 0.7 s more have passed.
        """
        kill_us = int(min(patience_us, 3_000_000)) + 700_000
        linger_us = min(self.linger_us, kill_us // 4)
        end_us = min(self.drain_end_us, kill_us - linger_us - 100_000)
        moves_us = max(0, min(self.drain_moves_us, end_us - self.drain_us - 200_000))
        return replace(self, drain_moves_us=moves_us, drain_end_us=end_us, linger_us=linger_us)

    @property
    def spare_sockets(self) -> int:
        """Kept from clients and flows: for probes and the fixed ones."""
        return max(26, self.sockets // 8)

    @property
    def probes(self) -> int:
        """Probes at once."""
        return min(32, self.spare_sockets - self.fixed_sockets)

    @property
    def client_sockets(self) -> int:
        """For clients and their flows together; what waits for a first line has to give way to either."""
        return max(2, self.sockets - self.spare_sockets)

    @property
    def clients(self) -> int:
        """The virtual servers that fit: each may need a flow beside its own socket."""
        return self.client_sockets // 2
