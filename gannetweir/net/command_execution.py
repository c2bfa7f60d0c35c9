"""Executes the engine's commands by calling the drivers."""

from __future__ import annotations

from functools import partial
from typing import assert_never

from gannetweir.core import (
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
from gannetweir.net.client_connection import ClientConnectionDriver
from gannetweir.net.client_registry import ClientRegistry
from gannetweir.net.endpoint_watch import EndpointWatchDriver
from gannetweir.net.load_probes import run_probe
from gannetweir.net.runtime import RelayRuntime
from gannetweir.net.shutdown import GracefulShutdown

OngoingCommand = OpenUpstream | CloseUpstream | StartForwarding
FinalCommand = RejectClient | FailClient | MigrateClient | EndClient | EndUpstream


class CommandExecutor:
    """Dispatches each command by its type.

    A command for a client that has disconnected is ignored, since the client's driver reports the end of the
    connection to the engine.
    """

    def __init__(
        self,
        runtime: RelayRuntime,
        clients: ClientRegistry,
        endpoint_watch: EndpointWatchDriver,
        shutdown: GracefulShutdown,
    ) -> None:
        self.runtime, self.clients = runtime, clients
        self.endpoint_watch, self.shutdown = endpoint_watch, shutdown

    def execute(self, command: Command) -> None:
        """Execute one command without waiting. Operations that wait run in separate tasks."""
        match command:
            case OpenUpstream() | CloseUpstream() | StartForwarding():
                client = self.clients.by_request.get(command.request_id)
                if client is not None:
                    _continue_request(client, command)
            case RejectClient() | FailClient() | MigrateClient() | EndClient() | EndUpstream():
                client = self.clients.by_request.pop(command.request_id, None)
                if client is not None:
                    _end_request(client, command)
            case StartLoadProbe():
                self.runtime.spawn(partial(run_probe, self.runtime, command))
            case SetEndpointWatch():
                self.endpoint_watch.apply_command(command)
            case WriteLogLine():
                self.runtime.log(command.text, **command.fields)
            case Exit():
                self.shutdown.begin_exit()
            case _:
                assert_never(command)


def _continue_request(client: ClientConnectionDriver, command: OngoingCommand) -> None:
    match command:
        case OpenUpstream():
            client.open_upstream(command)
        case CloseUpstream():
            client.close_upstream()
        case StartForwarding():
            client.start_forwarding()


def _end_request(client: ClientConnectionDriver, command: FinalCommand) -> None:
    match command:
        case RejectClient():
            client.end_rejected(command.retry_after_us)
        case FailClient():
            client.end_failed()
        case MigrateClient():
            client.end_migrated()
        case EndClient():
            client.end_as_upstream(command.reset)
        case EndUpstream():
            client.end_upstream(command.reset)
