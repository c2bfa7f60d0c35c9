"""The relay's driver of the control plane: one watch of one control machine, and the answers to it.

Off unless configured. The relay serves on with its last good versions whether or not any machine answers.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, Protocol

import anyio
import anyio.lowlevel
import h11
import orjson

from gannetweir.config import SocketAddress
from gannetweir.control.follower import ApplyEntries, Follower, FollowerEvent
from gannetweir.control.machine_selector import CALL_TIMEOUT_US, MachineSelector
from gannetweir.control.stage import ServiceTotals
from gannetweir.control.versions import Ack, Nack, Reason, Resource, Slice, Version
from gannetweir.limits import Limits
from gannetweir.membership.membership_update import MembershipUpdate
from gannetweir.net.transport import Spawn, Transport, connect, tcp_socket
from gannetweir.placement.settings import Settings
from gannetweir.proto.control_messages import ACK_TARGET, write_answer
from gannetweir.proto.control_watch import ControlWatch
from gannetweir.proto.endpoint_watch import EndpointListError, WatchFailed, read_membership

RETURN_TO_FIRST_CHOICE_US = (
    60_000_000  # a watch of another machine's ends for the first choice after this, or up to twice this
)

ACK_REPEAT_S = 0.7
ACK_REPEATS = 4  # within the time for which a first stage is observed


class ControlHost(Protocol):
    """What the driver needs of a relay."""

    @property
    def name(self) -> str: ...

    @property
    def settings(self) -> Settings: ...

    @property
    def limits(self) -> Limits: ...

    @property
    def spawn(self) -> Spawn: ...

    def apply_membership(self, update: MembershipUpdate) -> None:
        """Changes to the list, at most `ENTRIES_A_STEP` of them."""

    def apply_settings(self, values: dict[str, Any]) -> None:
        """The whole settings, checked. `ValueError` if they can't be taken after all."""

    def service_totals(self) -> ServiceTotals | None:
        """What was answered to clients since the start; None where there are none."""

    def version_applied(self, resource: Resource, version: Version) -> None:
        """All of the version was applied."""


class ControlDriver:
    """Holds the one watch; starts at the relay's first choice and goes on to the next when one fails."""

    def __init__(
        self,
        host: ControlHost,
        machines: Mapping[str, SocketAddress],
        followers: Mapping[Resource, Follower],
        draw: Callable[[], float],
        endpoint: Callable[[socket.socket, Limits, Spawn], Transport] = Transport,
    ) -> None:
        """`machines` by their names; `draw` gives numbers from 0 to 1. `ValueError` without a machine."""
        self.host, self.machines, self.followers, self.random_fraction = host, machines, followers, draw
        self.make_transport = endpoint  # a measurement counts the bytes in its own
        self.selector = MachineSelector(host.name, list(machines), draw)
        self.bytes_read = self.bytes_written = self.nacks = 0
        self.last_error = ""

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            stays = await self._watch(self.machines[self.selector.machine])
            for follower in self.followers.values():
                follower.disconnected()
            if stays:
                self.selector.return_to_first_choice()
            else:
                await anyio.sleep(self.selector.record_failure() / 1e6)

    async def _watch(self, at: SocketAddress) -> bool:
        """One watch. True if it ended only for the first choice's sake."""
        limits = self.host.limits
        endpoint = self.make_transport(tcp_socket(at.host), limits, self.host.spawn)
        held = {resource: follower.applied_version for resource, follower in self.followers.items()}
        watch = ControlWatch(f"{at.host}:{at.port}", self.host.name, held, self.host.settings, limits)
        try:
            due = anyio.current_time() + CALL_TIMEOUT_US / 1e6
            with anyio.fail_after(CALL_TIMEOUT_US / 1e6):
                await connect(endpoint.sock, (at.host, at.port))
            self._write(endpoint, watch.request)
            home = self.selector.machine == self.selector.ranked[0]
            leave = due + (
                float("inf") if home else RETURN_TO_FIRST_CHOICE_US * (1 + self.random_fraction()) / 1e6
            )
            while anyio.current_time() < leave:
                with anyio.fail_after(due - anyio.current_time()):
                    data = await endpoint.read()
                # bytes alone prove nothing: a machine that trickles says nothing whole, and is left
                if await self._receive(watch, data, at):
                    due = anyio.current_time() + limits.endpoint_watch_silence_us / 1e6
            return True
        except TimeoutError:
            self.last_error = "the watch fell silent"
        except (OSError, EndpointListError) as error:
            self.last_error = str(error)
        finally:
            endpoint.close()
        return False

    def _write(self, endpoint: Transport, data: bytes) -> None:
        self.bytes_written += len(data)
        endpoint.write(data)

    async def _receive(self, watch: ControlWatch, data: bytes, at: SocketAddress) -> bool:
        self.bytes_read += len(data)
        events = watch.events(data)
        for event in events:
            if isinstance(event, WatchFailed):
                raise EndpointListError(event.reason)
            self.selector.record_success()
            if isinstance(event, Slice):
                await self._process_slice(event, at)
        return bool(events)

    async def _process_slice(self, part: Slice, at: SocketAddress) -> None:
        follower = self.followers.get(part.resource)
        if follower is None:
            return
        self._dispatch(follower, follower.receive(part), at)
        while not follower.is_idle:
            await anyio.lowlevel.checkpoint()  # no turn of the loop does more than one step
            self._dispatch(follower, follower.step(), at)

    def _dispatch(self, follower: Follower, events: list[FollowerEvent], at: SocketAddress) -> None:
        for event in events:
            if isinstance(event, ApplyEntries):
                self._apply(follower, event)
                continue
            self.host.spawn(partial(self._send_answer, event, at))
            if isinstance(event, Ack) and event.resource is Resource.SETTINGS:
                self.host.spawn(partial(self._repeat_ack, event, at))
            if isinstance(event, Nack):
                self.nacks += 1
                if event.reason in (Reason.OLDER, Reason.CONFLICT):  # another machine may be in step
                    raise EndpointListError(f"the control machine is out of step: {event.reason}")

    def _apply(self, follower: Follower, event: ApplyEntries) -> None:
        if event.resource is Resource.MEMBERSHIP:
            hosts = [
                {"host": entry.key, "health": "Gone"} if entry.body is None else orjson.loads(entry.body)
                for entry in event.entries
            ]
            data = {"seq": event.version.number, "whole": False, "hosts": hosts}
            self.host.apply_membership(read_membership(data, self.host.settings))
        elif event.completes_version:
            held = follower.applied.entries
            self.host.apply_settings({key: orjson.loads(body) for key, body in held.items()})
        if event.completes_version:
            self.host.version_applied(event.resource, event.version)

    async def _repeat_ack(self, answer: Ack, at: SocketAddress) -> None:
        """Repeat the ACK while the relay may be one of the first with this version: its totals tell."""
        for _ in range(ACK_REPEATS):
            if self.host.service_totals() is None:
                return
            await anyio.sleep(ACK_REPEAT_S)
            await self._send_answer(answer, at)

    async def _send_answer(self, answer: Ack | Nack, at: SocketAddress) -> None:
        """On a connection of its own. One that is lost is asked for again: the machine ends the watch."""
        endpoint = self.make_transport(tcp_socket(at.host), self.host.limits, self.host.spawn)
        try:
            with anyio.move_on_after(CALL_TIMEOUT_US / 1e6), contextlib.suppress(OSError, h11.ProtocolError):
                await connect(endpoint.sock, (at.host, at.port))
                self._write(
                    endpoint,
                    _post(
                        f"{at.host}:{at.port}",
                        write_answer(self.host.name, answer, self.host.service_totals()),
                    ),
                )
                self.bytes_read += len(await endpoint.read())
        finally:
            endpoint.close()


def _post(host: str, body: bytes) -> bytes:
    http = h11.Connection(h11.CLIENT)
    headers = [("Host", host), ("Content-Length", str(len(body))), ("Connection", "close")]
    request = http.send(h11.Request(method="POST", target=ACK_TARGET, headers=headers)) or b""
    return request + (http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b"")
