"""The driver of a probe."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import anyio

from gannetweir import interface as i
from gannetweir.engine import Engine, StartProbe
from gannetweir.interface import Settings
from gannetweir.limits import Limits
from gannetweir.net.endpoint import Endpoint, Spawn, connect, tcp_socket
from gannetweir.proto.probe import ProbeCall
from gannetweir.proto.server_flow import Ended


class ProbeHost(Protocol):
    """What a probe needs of the relay."""

    @property
    def engine(self) -> Engine: ...

    @property
    def settings(self) -> Settings: ...

    @property
    def limits(self) -> Limits: ...

    @property
    def spawn(self) -> Spawn: ...

    def dial(self, text: str) -> tuple[str, int]: ...

    def tell(self, call: Callable[..., Any], *args: Any) -> Any: ...


async def run_probe(relay: ProbeHost, order: StartProbe) -> None:
    """Ask one backend for its load; every probe ends in one result."""
    limits = relay.limits
    result = Ended(i.CONNECT_FAILED)
    endpoint: Endpoint | None = None
    try:
        with anyio.move_on_after(limits.probe_us / 1e6):
            host, port = relay.dial(order.dial)
            endpoint = Endpoint(tcp_socket(host), limits, relay.spawn)
            with anyio.fail_after(limits.connect_us / 1e6):
                await connect(endpoint.sock, (host, port))
            result = Ended(i.TIMEOUT)
            call = ProbeCall(relay.settings.report_names, limits)
            endpoint.write(call.QUESTION)
            answer = None
            while answer is None:
                data = await endpoint.read()
                answer = call.feed(data) if data else Ended(i.RESET)
            result = answer
    except TimeoutError:
        pass
    except OSError:
        result = Ended(i.RESET) if result.status == i.TIMEOUT else result
    finally:
        if endpoint is not None:
            endpoint.close()
    relay.tell(relay.engine.probe_ended, order.server, result.status, result.report)
