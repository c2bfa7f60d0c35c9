"""Discovery's list: updates to it, the watch on a pushed one, the addresses that it tells of each server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir.core.commands import SetEndpointWatch
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.placement.events import EndpointId, EndpointListUpdate, EndpointStatus, UpdateKind

if TYPE_CHECKING:  # a relay without several addresses a server does without the code for them
    from gannetweir.addresses.rules import AddressRules


class MembershipUpdates:
    """Keeps the pool as discovery tells it, and the module informed."""

    def __init__(
        self, context: EngineContext, decisions: Decisions, upstream_events: UpstreamEvents, seed: int
    ) -> None:
        self.context, self.decisions, self.upstream_events = context, decisions, upstream_events
        self.seed = seed
        self.consecutive_watch_failures = 0  # in a row, where the list is pushed

    def update(self, update: MembershipUpdate, now_us: int) -> None:
        """Discovery has told something."""
        self.context.now_us = now_us
        self.context.counters.add("pool_news")
        self.consecutive_watch_failures = 0
        self.apply(UpdateKind.SNAPSHOT if update.complete else UpdateKind.DELTA, update)

    def apply(self, kind: int, update: MembershipUpdate) -> None:
        """Apply a list or its changes, tell the module, and end what must not reach a backend any more."""
        slow_start_window_us = int(self.context.settings.slow_start_window_us)
        effective_entries = self.context.endpoint_list.apply(
            update, self.context.now_us, kind == UpdateKind.CACHED, slow_start_window_us
        )
        if self.context.address_selector is not None:  # of a whole list also those that it lacks
            for server in (
                self.context.endpoint_list.entries
                if update.complete
                else [m.entry.endpoint_id for m in update.endpoints]
            ):
                self._update_addresses(server)
        elif any(
            member.additional_addresses for member in update.endpoints
        ):  # this discovery tells several addresses
            self.apply_address_rules(None)
        self.decisions.dispatch(EndpointListUpdate(kind, update.version, effective_entries))
        # A connect may outlast the grace of a drain, and one that comes up late could reach a new start with
        # what was meant for the warm one before it. The way to it failed, not the server.
        self.upstream_events.drop_unsent(self._targets_stale_endpoint, fault=True)

    def _targets_stale_endpoint(self, request: RequestState) -> bool:
        """Was its flow opened to a start of a backend that wants nothing new, or has been replaced?"""
        endpoint_list = self.context.endpoint_list
        if request.resumed:
            return False
        return (
            not endpoint_list.accepts_requests(request.endpoint_id)
            or endpoint_list.started_us(request.endpoint_id) != request.endpoint_started_us
        )

    def watch_failed(self, reason: str, now_us: int) -> None:
        """A watch ended or never began: the last pool holds."""
        self.context.now_us = now_us
        self.context.counters.add("pool_failures")
        self.context.log(f"pool: {reason}")
        if not self.context.settings.polls_endpoint_list:
            self.context.set_timer(
                self.context.limits.pool_push_retry_us if self.consecutive_watch_failures else 0,
                Timer.ENDPOINT_WATCH,
            )
            self.consecutive_watch_failures += 1
            return
        self._report_failed_poll()

    def _report_failed_poll(self) -> None:
        self.decisions.dispatch(EndpointListUpdate(UpdateKind.FAILED, self.context.endpoint_list.version, []))

    def watch_timer_expired(self) -> None:
        """The wait before the next watch is over."""
        if self.context.settings.polls_endpoint_list:  # since a reload: the module takes over
            self._report_failed_poll()
        else:
            self.watch_if_pushed()

    def set_watch(self, enabled: bool) -> None:
        """Start a watch, or end it, as the module says."""
        self.context.commands.append(SetEndpointWatch(enabled, self.context.endpoint_list.version))

    def watch_if_pushed(self) -> None:
        """A pushed list counts as told whether or not it is watched, from a relay's first moment on. So it is
        not the module's to ask for: the watch is opened at once, and again whenever it has ended.
        """
        if not self.context.settings.polls_endpoint_list:
            self.set_watch(True)

    def apply_address_rules(self, rules: AddressRules | None) -> None:
        """Choose the ways to servers by these rules from now on; without any, by discovery's list."""
        from gannetweir.addresses.address_selector import (
            AddressSelector,  # only where a server has several addresses
        )
        from gannetweir.addresses.rules import AddressRules

        rules = rules or AddressRules()
        if self.context.address_selector is not None:
            self.context.address_selector.take(rules, self.context.limits.connect_us)
            return
        self.context.address_selector = AddressSelector(rules, self.seed, self.context.limits.connect_us)
        for server in self.context.endpoint_list.entries:
            self._update_addresses(server)

    def _update_addresses(self, endpoint_id: EndpointId) -> None:
        assert self.context.address_selector is not None
        if self.context.endpoint_list.entries[endpoint_id].state == EndpointStatus.REMOVED:
            self.context.address_selector.forget(str(endpoint_id))
        else:
            endpoint_list = self.context.endpoint_list
            self.context.address_selector.tell(
                str(endpoint_id),
                endpoint_list.address_of(endpoint_id),
                endpoint_list.additional_addresses.get(endpoint_id, ()),
            )
