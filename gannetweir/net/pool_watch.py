"""The driver of the pool watch: one at a time; the module says when to begin again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from gannetweir.engine import WatchPool
from gannetweir.net.endpoint import Endpoint, connect, tcp_socket
from gannetweir.pool import PoolNews
from gannetweir.proto.pool_watch import PoolError, PoolWatch

if TYPE_CHECKING:
    from gannetweir.net.relay import Relay


class PoolDriver:
    """Holds the watch that is open, if any."""

    def __init__(self, relay: Relay) -> None:
        self.relay = relay
        self.scope: anyio.CancelScope | None = None

    def order(self, order: WatchPool) -> None:
        """Start a watch in place of the one before, or only end that."""
        if self.scope is not None:
            self.scope.cancel()
            self.scope = None
        if order.on:
            self.scope = scope = anyio.CancelScope()
            self.relay.spawn(lambda: self._run(order.since, scope))

    async def _run(self, since: int, scope: anyio.CancelScope) -> None:
        reason = "the watch fell silent"
        endpoint: Endpoint | None = None
        told = False
        with scope:
            try:
                at, limits = self.relay.config.discovery, self.relay.config.limits
                endpoint = Endpoint(tcp_socket(at.host), limits, self.relay.spawn)
                watch = PoolWatch(f"{at.host}:{at.port}", since, self.relay.config.settings, limits)
                with anyio.fail_after(limits.pool_call_us / 1e6):
                    await connect(endpoint.sock, (at.host, at.port))
                    endpoint.write(watch.request)
                while True:
                    # a watch that is open but says nothing, not even its beat, is dead
                    wait = limits.pool_silence_us if watch.answered else limits.pool_call_us
                    with anyio.fail_after(wait / 1e6):
                        data = await endpoint.read()
                    for news in watch.feed(data):
                        if isinstance(news, PoolNews):
                            self.relay.tell(self.relay.engine.pool_news, news)
                        elif not told:  # a beat in place of news: the pool is what it was
                            version = self.relay.engine.pool.version
                            self.relay.tell(self.relay.engine.pool_news, PoolNews(version, False))
                        told = True
            except TimeoutError:
                pass
            except (OSError, PoolError) as error:
                reason = str(error)
            finally:
                if endpoint is not None:
                    endpoint.close()
        if self.scope is scope:  # not ended by an order
            self.scope = None
            self.relay.tell(self.relay.engine.pool_failed, reason)
