"""A relay with one rule broken on purpose: python -m tests.fault_injection NAME serve

Each name breaks one thing that the soak's judge has to find. Nothing here is imported by the relay.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any

import anyio

from gannetweir.core import OpenUpstream
from gannetweir.core.draining import Draining
from gannetweir.core.operator_overrides import OverrideUpdates
from gannetweir.core.placement_dispatcher import PlacementDispatcher
from gannetweir.membership.endpoint_list import EndpointList
from gannetweir.net.client_connection import ClientConnectionDriver
from gannetweir.net.transport import Transport
from gannetweir.net.upstream_connection import UpstreamDriver
from gannetweir.placement.admission import LoadLimit
from gannetweir.placement.attempt_dispatch import AttemptDispatch
from gannetweir.placement.endpoint_state import EndpointState
from gannetweir.placement.events import AttemptStatus, EndpointListUpdate, UpdateKind
from gannetweir.placement.settings import RequestClass
from gannetweir.proto.client_connection import ClientConnection, FirstLine

EVERY = 7  # one of so many requests is treated wrongly


def _replace(owner: Any, name: str, wrap: Callable[[Any], Any]) -> None:
    setattr(owner, name, wrap(getattr(owner, name)))


def lost() -> None:
    """Refusals and some answers are never written."""

    def wrap(serve: Any) -> Any:
        def wrong(self: ClientConnectionDriver) -> None:
            if self.request_id % EVERY:
                serve(self)
            else:
                self.protocol.establish()

        return wrong

    _replace(ClientConnectionDriver, "start_forwarding", wrap)


def fabricated() -> None:
    """Some requests are told UP before any backend was asked."""

    def wrap(open_upstream: Any) -> Any:
        def wrong(self: ClientConnectionDriver, order: Any) -> None:
            if self.request_id % EVERY == 0:
                self.client.write(b"UP made-up\r\n")
            open_upstream(self, order)

        return wrong

    _replace(ClientConnectionDriver, "open_upstream", wrap)


def overlap() -> None:
    """Some attempts are given up without being closed."""

    def wrap(read: Any) -> Any:
        async def wrong(self: UpstreamDriver) -> bool:
            order = self.command
            if order.attempt == 0 and order.request_id % EVERY == 0:
                self.end_reported = True
                ended = self.context.engine.upstream_ended
                self.context.run_engine_call(
                    ended, order.request_id, order.attempt, AttemptStatus.RESET, (), True
                )
            return bool(await read(self))

        return wrong

    _replace(UpstreamDriver, "_read", wrap)
    _replace(
        UpstreamDriver, "close", lambda close: lambda self, reset=False: setattr(self, "end_reported", True)
    )


def repeat() -> None:
    """Every class is taken for one that may be repeated."""
    RequestClass.is_idempotent_everywhere = property(lambda self: True)  # type: ignore[assignment]
    _replace(
        RequestClass,
        "__init__",
        lambda init: lambda self, *a, **k: init(self, *a, **{**k, "idempotency": "repeatable"}),
    )

    def wrap(read: Any) -> Any:
        async def wrong(self: UpstreamDriver) -> bool:
            if self.command.attempt == 0 and self.command.request_id % EVERY == 0:
                return True  # as if the connection had been reset after the first line
            return bool(await read(self))

        return wrong

    _replace(UpstreamDriver, "_read", wrap)


def altered() -> None:
    """A byte of some first lines is changed."""

    def wrap(line: Any) -> Any:
        def wrong(self: FirstLine, wait_us: float) -> bytes:
            return bytes(line(self, wait_us).replace(b",g=", b",g=0"))

        return wrong

    _replace(FirstLine, "for_endpoint", wrap)


def draining() -> None:
    """What discovery says of a backend's leaving is not heeded."""
    EndpointList.accepts_requests = (  # type: ignore[method-assign]
        lambda self, endpoint_id: endpoint_id in self.entries
    )
    _replace(
        PlacementDispatcher,
        "dispatch",
        lambda dispatch: (
            lambda self, event: (
                None
                if isinstance(event, EndpointListUpdate) and event.kind != UpdateKind.CACHED
                else dispatch(self, event)
            )
        ),
    )


def by_hand() -> None:
    """What operators take out of use is answered, and not heeded."""
    OverrideUpdates.apply = lambda *_: None  # type: ignore[method-assign]
    EndpointList.is_offline = lambda *_: False  # type: ignore[method-assign]


def client_gone() -> None:
    """Four seconds after a client has left without an answer, an attempt for it begins."""

    def wrap(left: Any) -> Any:
        def wrong(self: ClientConnectionDriver, reset: bool) -> None:
            if self.upstream is not None and not self.upstream.protocol.established:
                self.context.spawn(partial(_attempt_later, self, self.upstream.command))
            left(self, reset)

        return wrong

    _replace(ClientConnectionDriver, "_report_disconnect", wrap)


async def _attempt_later(client: ClientConnectionDriver, command: OpenUpstream) -> None:
    await anyio.sleep(4.0)
    assert client.first_line is not None
    async with await anyio.connect_tcp(*client.context.parse_endpoint_address(command.address)) as backend:
        await backend.send(client.first_line.for_endpoint(command.timeout_us))


def cut_off() -> None:
    """Clients are moved without a word."""
    ClientConnection.end_migrated = lambda self: b""  # type: ignore[method-assign]


def held_back() -> None:
    """A line of a connection that has stood for a while waits for four seconds."""
    left = [4.0]

    def wrap(to_client: Any) -> Any:
        def wrong(self: ClientConnectionDriver, line: bytes) -> None:
            time.sleep(left.pop() if left and b"tick 2" in line else 0.0)
            to_client(self, line)

        return wrong

    _replace(ClientConnectionDriver, "write_to_client", wrap)


def exits_late() -> None:
    """SIGTERM is answered, but the process stays."""
    Draining.exit = lambda self: None  # type: ignore[method-assign]


def crash() -> None:
    """The process dies as it serves its seventh client."""

    def wrap(serve: Any) -> Any:
        def wrong(self: ClientConnectionDriver) -> None:
            if self.request_id >= EVERY:
                os._exit(3)
            serve(self)

        return wrong

    _replace(ClientConnectionDriver, "start_forwarding", wrap)


def descriptors() -> None:
    """Descriptors are not given back."""

    def wrap(close: Any) -> Any:
        def wrong(self: Transport) -> None:
            if not self.closed:
                os.dup(self.sock.fileno())
            close(self)

        return wrong

    _replace(Transport, "close", wrap)


def invariant() -> None:
    """Some clients have two final answers, as the relay's own guard is told."""

    def wrap(note: Any) -> Any:
        def wrong(self: ClientConnectionDriver, served: bool) -> None:
            note(self, served)
            if self.request_id % EVERY == 0:
                note(self, served)

        return wrong

    _replace(ClientConnectionDriver, "_note_answer", wrap)


def cold() -> None:
    """All goes to the backend that started last."""

    def choose_latest(self: AttemptDispatch, *_: object) -> EndpointState:
        return max(self._state.ready_endpoints.all, key=lambda endpoint: endpoint.started_us)

    AttemptDispatch._choose_among_all = choose_latest  # type: ignore[method-assign]
    LoadLimit.is_exceeded = lambda *_: False  # type: ignore[method-assign]


SABOTAGES: dict[str, Callable[[], None]] = {
    found.__name__: found
    for found in (
        lost,
        fabricated,
        overlap,
        repeat,
        altered,
        draining,
        by_hand,
        client_gone,
        cut_off,
        held_back,
        exits_late,
        crash,
        descriptors,
        invariant,
        cold,
    )
}


def main() -> int:
    """Break one rule, then serve."""
    name = sys.argv.pop(1)
    if name == "no_start":
        time.sleep(4.0)
        return 0
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1})
    SABOTAGES[name]()
    from gannetweir import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
