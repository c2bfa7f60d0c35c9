"""The clients of a simulated fleet: their arrivals, their choice of a relay, and their reaction to an answer.

The load is open-loop: arrivals are drawn ahead and don't wait for answers.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from gannetweir.lab.model.checker import RuleChecker
from gannetweir.lab.model.clients import SimulatedClient
from gannetweir.lab.model.clock import SimulatedClock
from gannetweir.lab.model.plan import SECOND_US, WorldPlan
from gannetweir.lab.model.relay import SimulatedRelay

MIN_RETURN_US, MAX_RETURN_US = 140_000, 1_000_000  # a client's wait where the relay gave no Retry-After
RETURN_AFTER_REFUSAL_US = 500_000  # a client's wait after a dead relay refused its connect
DRAIN_DETECTION_US = 300_000  # the load balancer's next ping shows that a relay is draining
DEATH_DETECTION_US = 3 * SECOND_US
# After this many draws of relays that are all known to be unavailable, the last one drawn is used.
MAX_RELAY_DRAWS = 20
GROUP_STEP = 0x9E3779B97F4A7C15  # spreads small group numbers over 64 bits
GROUP_MASK = (1 << 64) - 1


class ClientPopulation:
    """Schedules clients and handles their answers.

    Arrivals have their own random stream; the waits and relays of returning clients are drawn from the
    world's, so that a change in one does not shift the other.
    """

    def __init__(
        self,
        plan: WorldPlan,
        clock: SimulatedClock,
        checker: RuleChecker,
        rng: random.Random,
        relays: Sequence[SimulatedRelay],
    ) -> None:
        self.plan = plan
        self.clock = clock
        self.checker = checker
        self.rng = rng
        self.relays = relays  # the world's own list, in which a restarted relay replaces its predecessor
        self.arrivals_rng = random.Random(f"{plan.seed} arrivals")
        self.arrivals_end_us = 1 << 62  # no client arrives after this time
        self.arrival_rate_factor = 1.0  # multiplies the plan's arrival rate
        self.request_count = 0
        self.final_answers: list[tuple[int, str]] = []  # elapsed time of each answer, and the answer

    def schedule_arrival(self) -> None:
        """Draw the time of the next arrival."""
        rate_per_s = self.plan.arrivals_per_s * self.arrival_rate_factor
        self.clock.call_later(self.arrivals_rng.expovariate(rate_per_s) * SECOND_US, self._arrive)

    def _arrive(self) -> None:
        if self.clock.elapsed_us >= self.arrivals_end_us:
            return
        rng, traffic = self.arrivals_rng, self.plan.traffic
        request_class = rng.choices(
            range(len(traffic)), [class_traffic.arrival_share for class_traffic in traffic]
        )[0]
        duration_us = rng.expovariate(1.0 / traffic[request_class].mean_duration_us)
        group = rng.randrange(1, self.plan.groups + 1) * GROUP_STEP & GROUP_MASK
        relay = self._choose_relay(rng)
        key = rng.getrandbits(64)
        self._send_request(SimulatedClient(0, relay, request_class, duration_us, key, group, 0))
        self.schedule_arrival()

    def _choose_relay(self, rng: random.Random) -> SimulatedRelay:
        """Choose a relay as a load balancer would, which detects drains and deaths with a delay."""
        relay = rng.choice(self.relays)
        for _ in range(MAX_RELAY_DRAWS):
            if not self._is_known_unavailable(relay):
                break
            relay = rng.choice(self.relays)
        return relay

    def _is_known_unavailable(self, relay: SimulatedRelay) -> bool:
        now_us = self.clock.now_us
        if relay.draining_since_us and now_us > relay.draining_since_us + DRAIN_DETECTION_US:
            return True
        return bool(relay.dead_since_us) and now_us > relay.dead_since_us + DEATH_DETECTION_US

    def _send_request(self, client: SimulatedClient) -> None:
        if client.relay.dead_since_us:
            self._schedule_return(client, RETURN_AFTER_REFUSAL_US, client.retries_made, client.has_returned)
            return
        self.request_count += 1
        client.request_number = self.request_count
        request_class = self.plan.classes[client.request_class]
        time_budget_us = int(request_class.deadline_us)
        is_first_try = client.retries_made == 0 and not client.has_returned
        self.checker.request_sent(
            client.request_number, request_class.name, time_budget_us, is_first_try, self.clock.now_us
        )
        client.relay.first_line_received(client, time_budget_us)

    def answered(self, client: SimulatedClient, answer: str, retry_after_us: int) -> None:
        """Record an answer. A served client stays for its duration; any other may retry after a wait."""
        self.checker.answer_received(client.request_number, answer, self.clock.now_us)
        self.final_answers.append((self.clock.elapsed_us, answer))
        if answer == "up":
            self.clock.call_later(client.duration_us, lambda: client.relay.client_disconnected(client))
        elif client.retries_made < self.plan.traffic[client.request_class].retries:
            wait_us = retry_after_us or self._random_wait_us()
            self._schedule_return(client, wait_us, client.retries_made + 1, has_returned=False)

    def return_after_wait(self, client: SimulatedClient) -> None:
        """Let a client whose connection was migrated or broken return, through any relay."""
        self._schedule_return(client, self._random_wait_us(), 0, has_returned=True)

    def _random_wait_us(self) -> float:
        return self.rng.uniform(MIN_RETURN_US, MAX_RETURN_US)

    def _schedule_return(
        self, client: SimulatedClient, wait_us: float, retries_made: int, has_returned: bool
    ) -> None:
        returning = SimulatedClient(
            0,
            self._choose_relay(self.rng),
            client.request_class,
            client.duration_us,
            client.key,
            client.group,
            retries_made,
            has_returned,
        )
        self.clock.call_later(wait_us, lambda: self._send_unless_ended(returning))

    def _send_unless_ended(self, client: SimulatedClient) -> None:
        if self.clock.elapsed_us < self.arrivals_end_us:
            self._send_request(client)
