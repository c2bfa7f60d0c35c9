"""The state of one address of an endpoint: its speed, its failures, and its backoff."""

from __future__ import annotations

from dataclasses import dataclass

from gannetweir.addresses.address import Address

INITIAL_BACKOFF_US = 250_000  # doubled for each consecutive failure, including the first
# Further failures are not counted. This bounds the backoff to 64 s, whatever the rules state.
MAX_CONSECUTIVE_FAILURES = 8
RECENT_SUCCESS_US = 10_000_000  # an answer this recent shows that the endpoint is alive
SMOOTHING_WEIGHT = 0.25  # the weight of a new sample in an exponential moving average


@dataclass(slots=True)
class AddressState:
    """The state of one address of one endpoint. Owned by the `AddressTable`; the selector updates it."""

    address: Address
    connect_time_us: float = 0.0  # smoothed; 0 if never connected
    response_time_us: float = 0.0  # smoothed response time of load probes; 0 if never probed
    consecutive_failures: int = 0
    backoff_until_us: int = 0  # not tried before this time unless every address is unhealthy
    last_success_us: int = 0  # time of the endpoint's last answer on the address

    @property
    def is_unhealthy(self) -> bool:
        """Whether the address has failed and the endpoint has not answered on it since."""
        return self.consecutive_failures > 0

    def is_retry_due(self, now_us: int) -> bool:
        """Whether the address is unhealthy and its backoff is over."""
        return self.is_unhealthy and now_us >= self.backoff_until_us

    def may_be_alive(self, now_us: int) -> bool:
        """Whether the address is healthy, and the endpoint answered on it recently or was never asked."""
        is_recent = now_us - self.last_success_us <= RECENT_SUCCESS_US
        return not self.is_unhealthy and (not self.last_success_us or is_recent)

    def record_failure(self) -> None:
        """Count a failure; the caller sets the backoff."""
        self.consecutive_failures = min(self.consecutive_failures + 1, MAX_CONSECUTIVE_FAILURES)

    def record_connected(self, connect_time_us: int) -> None:
        """Add the duration of a connect to the average."""
        self.connect_time_us = _smoothed(self.connect_time_us, connect_time_us)

    def record_response(self, now_us: int, response_time_us: int) -> None:
        """Mark the address as healthy. `response_time_us` is a load probe's, or 0 for any other answer."""
        self.consecutive_failures = 0
        self.backoff_until_us = 0
        self.last_success_us = now_us
        if response_time_us > 0:
            self.response_time_us = _smoothed(self.response_time_us, response_time_us)

    def backoff_us(self, max_backoff_us: int) -> int:
        """Return the backoff before the next try of the address, without jitter."""
        failures = min(self.consecutive_failures, MAX_CONSECUTIVE_FAILURES)
        return min(INITIAL_BACKOFF_US << failures, max_backoff_us)


def _smoothed(average_us: float, sample_us: int) -> float:
    weight = SMOOTHING_WEIGHT if average_us else 1.0
    return average_us + (sample_us - average_us) * weight
