"""Discovery's list: updates to it, the watch on a pushed one, the addresses that it tells of each server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gannetweir.core.commands import SetEndpointWatch
from gannetweir.core.context import EngineContext
from gannetweir.core.decisions import Decisions
from gannetweir.core.request_state import RequestState
from gannetweir.core.timers import Timer
from gannetweir.core.upstream_events import UpstreamEvents
from gannetweir.membership.endpoint_list import MembershipUpdate
from gannetweir.placement.events import EndpointId, EndpointListUpdate, EndpointStatus, UpdateKind

if TYPE_CHECKING:  # a relay without several addresses a server does without the code for them
    from gannetweir.addresses.rules import AddressRules


class MembershipUpdates:
    """Keeps the pool as discovery tells it, and the module informed."""

    def __init__(
        self, context: EngineContext, decisions: Decisions, flows: UpstreamEvents, seed: int
    ) -> None:
        self.context, self.decisions, self.flows = context, decisions, flows
        self.seed = seed
        self.watch_fails = 0  # in a row, where the list is pushed

    def update(self, news: MembershipUpdate, now_us: int) -> None:
        """Discovery has told something."""
        self.context.now_us = now_us
        self.context.counters.add("pool_news")
        self.watch_fails = 0
        self.apply(UpdateKind.SNAPSHOT if news.complete else UpdateKind.DELTA, news)

    def apply(self, kind: int, news: MembershipUpdate) -> None:
        """Apply a list or its changes, tell the module, and end what must not reach a backend any more."""
        warm_us = int(self.context.settings.slow_start_window_us)
        seen = self.context.endpoint_list.apply(news, self.context.now_us, kind == UpdateKind.CACHED, warm_us)
        if self.context.address_selector is not None:  # of a whole list also those that it lacks
            for server in (
                self.context.endpoint_list.entries
                if news.complete
                else [m.entry.endpoint_id for m in news.endpoints]
            ):
                self._tell_paths(server)
        elif any(
            member.more_addresses for member in news.endpoints
        ):  # this discovery tells several addresses
            self.choose_addresses(None)
        self.decisions.dispatch(EndpointListUpdate(kind, news.version, seen))
        # A connect may outlast the grace of a drain, and one that comes up late could reach a new start with
        # what was meant for the warm one before it. The way to it failed, not the server.
        self.flows.drop_unsent(self._outdated, fault=True)

    def _outdated(self, tx: RequestState) -> bool:
        """Was its flow opened to a start of a backend that wants nothing new, or has been replaced?"""
        pool = self.context.endpoint_list
        if tx.resumed:
            return False
        return (
            not pool.accepts_requests(tx.endpoint_id)
            or pool.started_us(tx.endpoint_id) != tx.endpoint_started_us
        )

    def failed(self, reason: str, now_us: int) -> None:
        """A watch ended or never began: the last pool holds."""
        self.context.now_us = now_us
        self.context.counters.add("pool_failures")
        self.context.log(f"pool: {reason}")
        if not self.context.settings.polls_endpoint_list:
            self.context.set_timer(
                self.context.limits.pool_push_retry_us if self.watch_fails else 0, Timer.ENDPOINT_WATCH
            )
            self.watch_fails += 1
            return
        self._ask_again()

    def _ask_again(self) -> None:
        self.decisions.dispatch(EndpointListUpdate(UpdateKind.FAILED, self.context.endpoint_list.version, []))

    def watch_due(self) -> None:
        """The wait before the next watch is over."""
        if self.context.settings.polls_endpoint_list:  # since a reload: the module takes over
            self._ask_again()
        else:
            self.watch_pushed()

    def watch(self, on: bool) -> None:
        """Start a watch, or end it, as the module says."""
        self.context.commands.append(SetEndpointWatch(on, self.context.endpoint_list.version))

    def watch_pushed(self) -> None:
        """A pushed list counts as told whether or not it is watched, from a relay's first moment on. So it is
        not the module's to ask for: the watch is opened at once, and again whenever it has ended.
        """
        if not self.context.settings.polls_endpoint_list:
            self.watch(True)

    def choose_addresses(self, rules: AddressRules | None) -> None:
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
            self._tell_paths(server)

    def _tell_paths(self, server: EndpointId) -> None:
        assert self.context.address_selector is not None
        if self.context.endpoint_list.entries[server].state == EndpointStatus.REMOVED:
            self.context.address_selector.forget(str(server))
        else:
            pool = self.context.endpoint_list
            self.context.address_selector.tell(
                str(server), pool.address_of(server), pool.more_addresses.get(server, ())
            )
