"""The relay's driver of the control plane: watches one control machine and sends ACKs and NACKs.

The relay begins with its first choice of a machine, and switches to the next one when a watch fails
(`machine_selector`). Each slice is passed to the `Follower` of its resource, and the follower's events to the
`ControlHost`. The driver runs only where it is configured. The relay continues to serve clients with the last
good versions whether or not any machine answers.
"""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

import anyio
import anyio.lowlevel
import h11
import orjson

from gannetweir.config import SocketAddress
from gannetweir.control.follower import ApplyEntries, Follower, FollowerEvent
from gannetweir.control.machine_selector import CALL_TIMEOUT_US, MachineSelector
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import Ack, Entry, Nack, Reason, Resource, Slice, Version
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.sockets import connect, tcp_socket
from gannetweir.net.transport import Spawn, Transport
from gannetweir.placement.settings import Settings
from gannetweir.proto.control_messages import ACK_TARGET, write_answer
from gannetweir.proto.control_watch import ControlWatch
from gannetweir.proto.endpoint_watch import EndpointListError, WatchFailed, read_membership

# A watch of any other machine ends after one to two times this period, to return to the first choice.
RETURN_TO_FIRST_CHOICE_US = 60_000_000
# An ACK of settings is repeated at this interval, to report later service totals.
ACK_REPEAT_S = 0.7
# All repetitions are within the time for which a canary stage is observed.
ACK_REPEATS = 4
_US_PER_S = 1e6
_CALL_TIMEOUT_S = CALL_TIMEOUT_US / _US_PER_S

# A machine whose versions the relay rejects for these reasons may have been restored from a backup; another
# machine may be up to date.
_STALE_MACHINE_REASONS = frozenset({Reason.OLDER, Reason.CONFLICT})


class ControlHost(Protocol):
    """The interface of a relay that the driver uses."""

    @property
    def name(self) -> str:
        """The relay's name, which identifies the relay to control machines."""

    @property
    def settings(self) -> Settings:
        """The current settings."""

    @property
    def limits(self) -> Limits:
        """The current limits."""

    @property
    def spawn(self) -> Spawn:
        """Starts a task that ends with the relay."""

    def apply_membership(self, update: MembershipUpdate) -> None:
        """Apply changes to the endpoint list, at most `ENTRIES_PER_STEP` of them."""

    def apply_settings(self, values: dict[str, object]) -> None:
        """Apply the complete, checked settings. Raises `ValueError` if they can't be applied nevertheless."""

    def service_totals(self) -> ServiceTotals | None:
        """Return the numbers of answers sent to clients since the start; None if there are no clients."""

    def version_applied(self, resource: Resource, version: Version) -> None:
        """Notify the relay that all entries of the version were applied."""


class ControlDriver:
    """Owns the relay's only watch, the selection of the machine, and the followers of all resources."""

    def __init__(
        self,
        host: ControlHost,
        machines: Mapping[str, SocketAddress],
        followers: Mapping[Resource, Follower],
        random_fraction: Callable[[], float],
        make_transport: Callable[[socket.socket, Limits, Spawn], Transport] = Transport,
    ) -> None:
        """Create the driver; `random_fraction` returns a random number from 0 to 1.

        `machines` has the addresses of the control machines by name. Raises `ValueError` if it is empty.
        """
        self.host = host
        self.machines = machines
        self.followers = followers
        self.random_fraction = random_fraction
        self.make_transport = make_transport
        self.selector = MachineSelector(host.name, list(machines), random_fraction)
        self.bytes_read = 0
        self.bytes_written = 0
        self.nacks = 0
        self.last_error = ""

    async def run(self) -> None:
        """Watch the selected machine, and the next one after each failure, until cancelled."""
        while True:
            ended_for_first_choice = await self._watch(self.machines[self.selector.machine])
            for follower in self.followers.values():
                follower.disconnected()
            if ended_for_first_choice:
                self.selector.return_to_first_choice()
            else:
                await anyio.sleep(self.selector.record_failure() / _US_PER_S)

    async def _watch(self, address: SocketAddress) -> bool:
        """Run one watch until it ends.

        Returns True if the watch was ended to return to the first choice. Otherwise the watch failed, and
        `last_error` has the reason.
        """
        limits = self.host.limits
        transport = self.make_transport(tcp_socket(address.host), limits, self.host.spawn)
        try:
            await self._follow_machine(transport, address, limits)
        except TimeoutError:
            self.last_error = "timed out waiting for a connection or a complete message"
        except (OSError, EndpointListError) as error:
            self.last_error = str(error)
        else:
            return True
        finally:
            transport.close()
        return False

    async def _follow_machine(self, transport: Transport, address: SocketAddress, limits: Limits) -> None:
        """Receive versions until it is time to return to the first choice.

        Raises `TimeoutError`, `OSError` or `EndpointListError` if the watch fails.
        """
        applied = {resource: follower.applied_version for resource, follower in self.followers.items()}
        watch = ControlWatch(
            f"{address.host}:{address.port}", self.host.name, applied, self.host.settings, limits
        )
        message_due = anyio.current_time() + _CALL_TIMEOUT_S
        with anyio.fail_after(_CALL_TIMEOUT_S):
            await connect(transport.sock, (address.host, address.port))
        self._write(transport, watch.request)
        end = message_due + self._max_watch_duration_s()
        while anyio.current_time() < end:
            with anyio.fail_after(message_due - anyio.current_time()):
                data = await transport.read()
            # Only a complete message extends the deadline: a machine that sends single bytes is abandoned.
            if await self._receive(watch, data, address):
                message_due = anyio.current_time() + limits.endpoint_watch_silence_us / _US_PER_S

    def _max_watch_duration_s(self) -> float:
        if self.selector.machine == self.selector.ranked[0]:
            return math.inf
        return RETURN_TO_FIRST_CHOICE_US * (1 + self.random_fraction()) / _US_PER_S

    def _write(self, transport: Transport, data: bytes) -> None:
        self.bytes_written += len(data)
        transport.write(data)

    async def _receive(self, watch: ControlWatch, data: bytes, address: SocketAddress) -> bool:
        """Process received bytes; return True if they completed a message.

        Raises `EndpointListError` if the watch has failed.
        """
        self.bytes_read += len(data)
        events = watch.events(data)
        for event in events:
            if isinstance(event, WatchFailed):
                raise EndpointListError(event.reason)
            self.selector.record_success()
            if isinstance(event, Slice):
                await self._process_slice(event, address)
        return bool(events)

    async def _process_slice(self, part: Slice, address: SocketAddress) -> None:
        follower = self.followers.get(part.resource)
        if follower is None:
            return
        self._dispatch(follower, follower.receive(part), address)
        while not follower.is_idle:
            # The event loop runs other tasks between steps, so that a large version does not block it.
            await anyio.lowlevel.checkpoint()
            self._dispatch(follower, follower.step(), address)

    def _dispatch(self, follower: Follower, events: list[FollowerEvent], address: SocketAddress) -> None:
        for event in events:
            match event:
                case ApplyEntries():
                    self._apply(follower, event)
                case Ack():
                    self._handle_ack(event, address)
                case Nack():
                    self._handle_nack(event, address)

    def _apply(self, follower: Follower, event: ApplyEntries) -> None:
        if event.resource is Resource.MEMBERSHIP:
            hosts = [_endpoint_object(entry) for entry in event.entries]
            data = {"seq": event.version.number, "whole": False, "hosts": hosts}
            self.host.apply_membership(read_membership(data, self.host.settings))
        elif event.completes_version:
            values = {key: orjson.loads(body) for key, body in follower.applied.entries.items()}
            self.host.apply_settings(values)
        if event.completes_version:
            self.host.version_applied(event.resource, event.version)

    def _handle_ack(self, answer: Ack, address: SocketAddress) -> None:
        self.host.spawn(partial(self._send_answer, answer, address))
        if answer.resource is Resource.SETTINGS:
            self.host.spawn(partial(self._repeat_ack, answer, address))

    def _handle_nack(self, answer: Nack, address: SocketAddress) -> None:
        self.host.spawn(partial(self._send_answer, answer, address))
        self.nacks += 1
        if answer.reason in _STALE_MACHINE_REASONS:
            raise EndpointListError(f"the relay rejected the control machine's version: {answer.reason}")

    async def _repeat_ack(self, answer: Ack, address: SocketAddress) -> None:
        """Repeat the ACK while the relay may be a canary of this version.

        The later totals show the relay's success ratio under the version.
        """
        for _ in range(ACK_REPEATS):
            if self.host.service_totals() is None:
                return
            await anyio.sleep(ACK_REPEAT_S)
            await self._send_answer(answer, address)

    async def _send_answer(self, answer: Ack | Nack, address: SocketAddress) -> None:
        """Send an ACK or NACK on a separate connection; a failure is ignored.

        A machine that does not receive the answer ends the watch (`ACK_TIMEOUT_US`), and the request of the
        next watch reports the applied versions.
        """
        transport = self.make_transport(tcp_socket(address.host), self.host.limits, self.host.spawn)
        try:
            with anyio.move_on_after(_CALL_TIMEOUT_S), contextlib.suppress(OSError, h11.ProtocolError):
                await connect(transport.sock, (address.host, address.port))
                body = write_answer(self.host.name, answer, self.host.service_totals())
                self._write(transport, _post_request(f"{address.host}:{address.port}", body))
                self.bytes_read += len(await transport.read())
        finally:
            transport.close()


def _endpoint_object(entry: Entry) -> object:
    """Return a membership entry as an object of discovery's endpoint list."""
    if entry.body is None:
        return {"host": entry.key, "health": "Gone"}
    return orjson.loads(entry.body)


def _post_request(host: str, body: bytes) -> bytes:
    http = h11.Connection(h11.CLIENT)
    headers = [("Host", host), ("Content-Length", str(len(body))), ("Connection", "close")]
    events = (
        h11.Request(method="POST", target=ACK_TARGET, headers=headers),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    return b"".join(http.send(event) or b"" for event in events)
