"""One relay's requests and connections: protocol events in, commands out. No sockets, clock or line syntax.

`Engine` is what a front calls; the commands are what it answers with. All else in here is the engine's own.
"""

from gannetweir.core.commands import (
    Abandon,
    CloseFlow,
    Command,
    EndClient,
    EndFlow,
    Exit,
    LogLine,
    MoveClient,
    OpenFlow,
    Reject,
    Serve,
    StartProbe,
    WatchPool,
)
from gannetweir.core.engine import Engine

__all__ = [
    "Abandon",
    "CloseFlow",
    "Command",
    "EndClient",
    "EndFlow",
    "Engine",
    "Exit",
    "LogLine",
    "MoveClient",
    "OpenFlow",
    "Reject",
    "Serve",
    "StartProbe",
    "WatchPool",
]
