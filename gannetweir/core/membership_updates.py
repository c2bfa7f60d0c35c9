"""Membership in the engine: updates of the endpoint list, the watch on it, and the endpoints' addresses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir.core.commands import SetEndpointWatch
from gannetweir.core.context import EngineContext
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.events import EndpointId, EndpointListUpdate, EndpointStatus, UpdateKind

if TYPE_CHECKING:
    # Loaded at run time only if an endpoint has several addresses.
    from gannetweir.addresses.rules import AddressRules


class MembershipUpdates:
    """Applies membership updates to the endpoint list, and notifies the balancer of them.

    Owns the count of failed watches; the endpoint list and the address selector belong to the context.
    """

    def __init__(
        self,
        context: EngineContext,
        dispatcher: PlacementDispatcher,
        upstream_events: UpstreamEvents,
        seed: int,
    ) -> None:
        """`seed` is for the address selector's random numbers."""
        self.context = context
        self.dispatcher = dispatcher
        self.upstream_events = upstream_events
        self.seed = seed
        self.consecutive_watch_failures = 0  # counted only if discovery pushes the list

    def update_received(self, update: MembershipUpdate, now_us: int) -> None:
        """Apply an update that discovery or the control plane sent."""
        self.context.now_us = now_us
        self.context.counters.add("membership_updates")
        self.consecutive_watch_failures = 0
        self.apply(UpdateKind.SNAPSHOT if update.complete else UpdateKind.DELTA, update)

    def apply(self, kind: UpdateKind, update: MembershipUpdate) -> None:
        """Apply an update, notify the balancer, and close the attempts that must no longer be sent."""
        effective_entries = self.context.endpoint_list.apply(
            update,
            self.context.now_us,
            from_cache=kind == UpdateKind.CACHED,
            slow_start_window_us=int(self.context.settings.slow_start_window_us),
        )
        if self.context.address_selector is not None:
            self._update_listed_addresses(update)
        elif any(listed.additional_addresses for listed in update.endpoints):
            self.apply_address_rules(None)
        self.dispatcher.dispatch(EndpointListUpdate(kind, update.version, effective_entries))
        # A connect may take longer than the grace period of a drain. If it succeeds late, it could reach a
        # new incarnation of the endpoint with a request that was meant for the warmed-up one before. The path
        # is at fault, not the endpoint.
        self.upstream_events.close_unsent(self._targets_stale_endpoint, address_fault=True)

    def renumber(self) -> None:
        """Apply the numbers that zones and machine types have in new settings."""
        settings = self.context.settings
        entries = self.context.endpoint_list.renumber(
            settings.zone_names, settings.machine_types, self.context.now_us
        )
        version = self.context.endpoint_list.version
        self.dispatcher.dispatch(EndpointListUpdate(UpdateKind.CACHED, version, entries))

    def _targets_stale_endpoint(self, request: RequestState) -> bool:
        """Return whether the attempt goes to an endpoint that is no longer ready, or to an earlier
        incarnation.
        """
        endpoint_list = self.context.endpoint_list
        if request.resumed:
            return False
        return (
            not endpoint_list.accepts_requests(request.endpoint_id)
            or endpoint_list.started_us(request.endpoint_id) != request.endpoint_started_us
        )

    def watch_failed(self, reason: str, now_us: int) -> None:
        """Handle a watch that has ended or could not be opened; the last known list stays in force. A pushed
        list is watched again, at once after the first failure and after a pause from then on. A polled list
        is polled again when the balancer decides.
        """
        self.context.now_us = now_us
        self.context.counters.add("endpoint_watch_failures")
        self.context.log(f"endpoint watch: {reason}")
        if self.context.settings.polls_endpoint_list:
            self._report_failed_poll()
            return
        pause_us = self.context.limits.endpoint_watch_retry_us if self.consecutive_watch_failures else 0
        self.context.set_timer(pause_us, Timer.ENDPOINT_WATCH)
        self.consecutive_watch_failures += 1

    def _report_failed_poll(self) -> None:
        """Notify the balancer, which decides when to poll the list again."""
        self.dispatcher.dispatch(
            EndpointListUpdate(UpdateKind.FAILED, self.context.endpoint_list.version, [])
        )

    def watch_timer_expired(self) -> None:
        """Open the watch again after the pause, or leave the list to the balancer if it is polled by now."""
        if self.context.settings.polls_endpoint_list:  # a reload has enabled polling
            self._report_failed_poll()
        else:
            self.watch_if_pushed()

    def set_watch(self, enabled: bool) -> None:
        """Command the driver to open or close the watch."""
        self.context.commands.append(SetEndpointWatch(enabled, self.context.endpoint_list.version))

    def watch_if_pushed(self) -> None:
        """Open the watch if discovery pushes the list. In that mode a change counts as known to the relay as
        soon as it happens, watched or not, so the watch does not depend on the balancer: it is opened at
        once, and again whenever it has ended.
        """
        if not self.context.settings.polls_endpoint_list:
            self.set_watch(True)

    def apply_address_rules(self, rules: AddressRules | None) -> None:
        """Select among the endpoints' addresses by these rules from now on; without rules, among the
        addresses that discovery lists.
        """
        # Imported only here: a relay whose endpoints have one address each starts without this code.
        from gannetweir.addresses.address_selector import AddressSelector
        from gannetweir.addresses.rules import AddressRules

        rules = rules or AddressRules()
        if self.context.address_selector is not None:
            self.context.address_selector.apply_rules(rules, self.context.limits.connect_timeout_us)
            return
        self.context.address_selector = AddressSelector(
            rules, self.seed, self.context.limits.connect_timeout_us
        )
        for endpoint_id in self.context.endpoint_list.entries:
            self._update_addresses(endpoint_id)

    def _update_listed_addresses(self, update: MembershipUpdate) -> None:
        """Update the address selector for the endpoints of a delta, or for all endpoints after a snapshot,
        since a snapshot removes the endpoints that it lacks.
        """
        if update.complete:
            for endpoint_id in self.context.endpoint_list.entries:
                self._update_addresses(endpoint_id)
            return
        for listed in update.endpoints:
            self._update_addresses(listed.entry.endpoint_id)

    def _update_addresses(self, endpoint_id: EndpointId) -> None:
        endpoint_list = self.context.endpoint_list
        address_selector = self.context.address_selector
        assert address_selector is not None
        if endpoint_list.entries[endpoint_id].state == EndpointStatus.REMOVED:
            address_selector.remove_endpoint(str(endpoint_id))
            return
        additional_addresses = endpoint_list.additional_addresses.get(endpoint_id, ())
        address_selector.update_endpoint(
            str(endpoint_id), endpoint_list.address_of(endpoint_id), additional_addresses
        )
