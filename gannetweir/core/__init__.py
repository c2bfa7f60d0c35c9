"""One relay's requests and connections: protocol events in, commands out. No sockets, clock or line syntax.

`Engine` is what a front calls; the commands are what it answers with. All else in here is the engine's own.
"""

from gannetweir.core.commands import (
    CloseUpstream,
    Command,
    EndClient,
    EndUpstream,
    Exit,
    FailClient,
    MigrateClient,
    OpenUpstream,
    RejectClient,
    SetEndpointWatch,
    StartForwarding,
    StartLoadProbe,
    WriteLogLine,
)
from gannetweir.core.context import EngineOptions
from gannetweir.core.engine import Engine

__all__ = [
    "CloseUpstream",
    "Command",
    "EndClient",
    "EndUpstream",
    "Engine",
    "EngineOptions",
    "Exit",
    "FailClient",
    "MigrateClient",
    "OpenUpstream",
    "RejectClient",
    "SetEndpointWatch",
    "StartForwarding",
    "StartLoadProbe",
    "WriteLogLine",
]
