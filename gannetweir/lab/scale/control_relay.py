"""A skeleton relay's membership from the control plane: the production driver, on the relay's engine."""

from __future__ import annotations

import random

from gannetweir.config import SocketAddress
from gannetweir.control.follower import Follower
from gannetweir.control.versions import Entry, Resource, Version
from gannetweir.core import SetEndpointWatch
from gannetweir.lab.scale.messages import RelayRecord, machine_name
from gannetweir.lab.scale.skeleton_relay import KnownList, SkeletonRelay
from gannetweir.net.control_check import RelayCheck
from gannetweir.net.control_host import EngineHost
from gannetweir.net.control_watch import ControlDriver
from gannetweir.placement.settings import Settings


class RecordedDriver(ControlDriver):
    """Records each watch that failed and each version that was refused with a NACK."""

    record: RelayRecord

    async def _watch(self, address: SocketAddress) -> bool:
        nacks = self.nacks
        stays = await super()._watch(address)
        if not stays:
            self.record.watch_failures += 1
        if self.nacks > nacks:
            self.record.faults.append(f"NACK: {self.last_error}")
        return stays


class ControlledMembership:
    """Keeps the membership of a skeleton relay up to date, from the control machines.

    The driver is started by the first command to watch. Later commands are ignored, since the driver retries
    without them and never stops.
    """

    def __init__(self, relay: SkeletonRelay) -> None:
        self.relay, self.started = relay, False
        check = RelayCheck(lambda: relay.settings)
        known = relay.config.known
        initial_entries = (
            [Entry(key, body) for key, body in known.members.items()] if known is not None else []
        )
        self.membership = Follower(
            Resource.MEMBERSHIP, check, initial_entries, known.version if known is not None else 0
        )
        self.applied_number = self.membership.applied_version.number
        followers = {
            Resource.MEMBERSHIP: self.membership,
            Resource.SETTINGS: Follower(Resource.SETTINGS, check),
        }
        host = EngineHost(relay, f"relay-{relay.record.relay}", self._ignore_settings, self._version_applied)
        servers = {machine_name(n): at for n, at in enumerate(relay.config.servers)}
        draw = random.Random(relay.config.seed).random
        self.driver = RecordedDriver(host, servers, followers, draw, relay.counted_transport)
        self.driver.record = relay.record
        relay.version, relay.known = lambda: self.applied_number, self._known

    def apply_command(self, command: SetEndpointWatch) -> None:
        """See `MembershipDriver`."""
        if command.enabled and not self.started:
            self.started = True
            self.relay.spawn(self.driver.run)

    def _ignore_settings(self, settings: Settings) -> None:
        """Do nothing: the relay was started with the same settings, for its own zone."""

    def _version_applied(self, resource: Resource, version: Version) -> None:
        if resource is Resource.MEMBERSHIP:
            self.applied_number = version.number
            self.relay.note_version()

    def _known(self) -> KnownList | None:
        follower = self.membership
        # A version of which only a part was applied can't be used.
        if follower.unapplied is not None or not follower.applied_version.number:
            return None
        return KnownList(follower.applied_version.number, dict(follower.applied.entries))
