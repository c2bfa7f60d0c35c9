"""The schedule of polls for the endpoint list, and the backoff after failed polls."""

from __future__ import annotations

from gannetweir.placement.actions import WatchEndpoints
from gannetweir.placement.context import POLL_TIMER, PlacementContext

# Mean interval between the first polls of successive relays, so that they do not all poll at once.
FIRST_POLL_SPREAD_PER_RELAY_US = 100_000
FIRST_BACKOFF_US = 350_000  # first wait; each failure doubles it
MAX_BACKOFF_DOUBLINGS = 4  # 5.6 s, which already exceeds `MAX_ROUND_US`
# Longest interval from poll to poll. This interval and the time of an answer fit into the 6 s within which a
# change has to be applied, or, with the slowest answers, into the grace period after them.
MAX_ROUND_US = 3_100_000


class EndpointPolling:
    """Polls for the endpoint list until it is subscribed to, where the list is not pushed.

    Owns the state of the subscription and the poll in flight.
    """

    def __init__(self, context: PlacementContext) -> None:
        self._context = context
        self.is_subscribed = not context.settings.polls_endpoint_list
        self._is_polling = False
        self._polled_us = 0
        self._failures = 0  # consecutive failed polls

    def start(self) -> None:
        """Set the timer of the first poll, at a random offset of this relay."""
        settings = self._context.settings
        if not settings.polls_endpoint_list:
            return
        spread_us = min(
            settings.poll_interval_us / 4, FIRST_POLL_SPREAD_PER_RELAY_US * settings.relay_count, MAX_ROUND_US
        )
        self._context.set_timer(POLL_TIMER, int(spread_us * self._context.rng.random()) + 1)

    def poll(self, now_us: int) -> None:
        """Poll for the list unless it is subscribed to or a poll is in flight.

        A poll without an answer counts as in flight for two rounds only.
        """
        if self.is_subscribed or (self._is_polling and now_us - self._polled_us < 2 * MAX_ROUND_US):
            return
        self._is_polling = True
        self._polled_us = now_us
        self._context.actions.append(WatchEndpoints(1))

    def repoll(self, now_us: int) -> None:
        """Poll again if a poll was not answered."""
        if self._is_polling:
            self.poll(now_us)

    def succeeded(self) -> None:
        """Handle a received list or change: if a poll was in flight, this is its answer."""
        if self._is_polling:
            self.is_subscribed = True
            self._is_polling = False
            self._failures = 0

    def failed(self, now_us: int) -> None:
        """Schedule the next poll, with exponential backoff up to `MAX_ROUND_US`."""
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
