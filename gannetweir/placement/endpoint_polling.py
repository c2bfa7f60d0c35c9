"""When the endpoint list is polled, and the backoff after polls that failed."""

from __future__ import annotations

from gannetweir.placement.actions import WatchEndpoints
from gannetweir.placement.context import POLL_TIMER, PlacementContext

FIRST_POLL_SPREAD_PER_RELAY_US = (
    100_000  # how far apart the relays' first polls lie on average, so as not to come at once
)
FIRST_BACKOFF_US = 350_000  # before the second poll, then doubled
MAX_BACKOFF_DOUBLINGS = 4  # 5.6 s: more would never pass the limit on a round
MAX_ROUND_US = 3_100_000  # from poll to poll at most: two rounds fit the 6 s in which a change is due


class EndpointPolling:
    """Polls for the endpoint list until a subscription stands, where the list has to be asked for.

    Owns whether the list is subscribed to, and the poll under way.
    """

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self.is_subscribed = not context.settings.polls_endpoint_list
        self._is_polling = False
        self._polled_us = 0
        self._failures = 0  # polls in a row that failed

    def start(self) -> None:
        """Set the timer of the first poll, at this relay's own time."""
        settings = self._context.settings
        if not settings.polls_endpoint_list:
            return
        spread_us = min(
            settings.poll_interval_us / 4, FIRST_POLL_SPREAD_PER_RELAY_US * settings.relay_count, MAX_ROUND_US
        )
        self._context.set_timer(POLL_TIMER, int(spread_us * self._context.rng.random()) + 1)

    def poll(self, now_us: int) -> None:
        """Subscribe where nothing is subscribed to. An answer that never comes does not end the polling."""
        if self.is_subscribed or (self._is_polling and now_us - self._polled_us < 2 * MAX_ROUND_US):
            return
        self._is_polling = True
        self._polled_us = now_us
        self._context.actions.append(WatchEndpoints(1))

    def repoll(self, now_us: int) -> None:
        """Poll anew where the answer to a poll has not come."""
        if self._is_polling:
            self.poll(now_us)

    def succeeded(self) -> None:
        """A list or a change has come: where a poll was under way, it was its answer."""
        if self._is_polling:
            self.is_subscribed = True
            self._is_polling = False
            self._failures = 0

    def failed(self, now_us: int) -> None:
        """Poll again later, after a longer backoff each time, up to the limit on a round."""
        settings = self._context.settings
        since_poll_us = now_us - self._polled_us if self._is_polling else 0
        wait_us = min(
            settings.poll_interval_us,
            FIRST_BACKOFF_US << min(self._failures, MAX_BACKOFF_DOUBLINGS),
            max(0, MAX_ROUND_US - since_poll_us),
        )
        self.is_subscribed = not settings.polls_endpoint_list
        self._is_polling = False
        self._failures += 1
        self._context.set_timer(POLL_TIMER, int(wait_us * self._context.rng.uniform(0.5, 1.0)) + 1)
