"""Two events that cross, in either order: what the relay owes all the same. In scenarios, and on sockets
where the order is certain: what is sent together is read together, since test and relay share one loop."""

from __future__ import annotations

import pytest

from tests.place import QUICK, Place, Play, anyio_backend, played, served  # noqa: F401


def leaves_at_once(reset: bool) -> Play:
    async def leaves(place: Place) -> None:
        for n in range(20):
            client = await place.client()
            await place.until(lambda: place.relay.open_clients == 1)
            client.send(rf"OPEN {n:x} 0b c=plain,d=2000\r\n")
            if reset:
                client.close(True)
            else:
                client.finish()
                await client.expect("end")
            await place.until(lambda: place.relay.open_clients == 0)
        with pytest.raises(BlockingIOError):  # nothing of it is as much as dialled
            place.backend.accept()
        assert reset or place.relay.engine.counters.counts["requests"] == 20  # a reset may take the line along
        await served(place, "ff")

    leaves.__name__ = f"the first line and the client's {'reset' if reset else 'end'} together"
    return leaves


@pytest.mark.anyio
@pytest.mark.parametrize("crossing", [leaves_at_once(False), leaves_at_once(True)], ids=lambda f: f.__name__)
async def test_on_sockets(crossing: Play, capsys: pytest.CaptureFixture[str]) -> None:
    await played(Place(**QUICK), crossing, capsys)
