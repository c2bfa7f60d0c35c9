"""One relay's requests and connections: protocol events in, commands out. No sockets, clock or line syntax.

Drivers call `Engine` and execute its commands. All other modules are internal to the engine.
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
