"""`gannetweir demo`: relays, discovery, backends and clients on loopback, with faults and restarts."""

from __future__ import annotations

import socket

import anyio
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from gannetweir.lab.emulator.emulator import Emulator
from gannetweir.lab.emulator.plan import EmulatorPlan
from gannetweir.lab.emulator.script import Script, run_script
from gannetweir.lab.experiments.experiment_run import parse_experiment, scripted_events

DURATION_S = 30.0
MEAN_DURATION_SHARE = 0.2  # the mean stay of a client, as a share of the demo's duration
# The times of the events are `EVENT_TIME_SHARES` of the demo's duration.
DEMO_EXPERIMENT = """
experiment "demo" {{
    variant "demo" {{
        at "{:.0f}ms" fault="stall" family="unix" until="{:.0f}ms"
        at "{:.0f}ms" drain="b2"
        at "{:.0f}ms" restart="b3"
        at "{:.0f}ms" term=0
    }}
}}
"""
EVENT_TIME_SHARES = 0.2, 0.4, 0.5, 0.62, 0.75


def families() -> tuple[str, ...]:
    """Return the address families that this machine can listen on."""
    usable = ["unix", "ipv4"]
    try:
        with socket.socket(socket.AF_INET6) as probe:
            probe.bind(("::1", 0))
            usable.insert(1, "ipv6")
    except OSError:
        pass
    return tuple(usable)


def _state_table(emulator: Emulator, event_lines: list[str], share: float) -> Group:
    table = Table(title=f"gannetweir demo, {share:.0%}")
    for column in ("backend", "state", "clients", ""):
        table.add_column(column, justify="right" if column == "clients" else "left")
    for name, backend in emulator.backends.items():
        state = (
            "draining"
            if backend.draining
            else "warming up"
            if backend.current_capacity() < 0.99 * backend.capacity
            else "ready"
        )
        families_text = " ".join(
            f"{listener.address.family}:{listener.fault or listener.first_lines}"
            for listener in backend.listeners.values()
        )
        connections = emulator.clients.open_connections[name]
        table.add_row(name, state, str(connections), "#" * min(40, connections) + f"  {families_text}")
    counts = ", ".join(f"{emulator.clients.counts[k]} {k}" for k in ("up", "busy", "err", "moved", "broken"))
    return Group(table, Text(f"clients so far: {counts}"), *(Text(f"  {line}") for line in event_lines[-6:]))


async def run(seconds: float, live: bool) -> int:
    """Run the demo. Returns 0 if no rule was broken, otherwise 1."""
    console = Console()
    event_lines: list[str] = []
    shares = [0.0]
    plan = EmulatorPlan(relays=2, backends=4, families=families(), capacity=60, store_calls_per_s=400)
    families_text = ", ".join(plan.families)
    console.print(f"2 relays, discovery and 4 backends ({families_text}) on loopback, {seconds:g} s")
    async with Emulator(plan) as emulator:

        def report_event(text: str) -> None:
            event_lines.append(f"{anyio.current_time() - emulator.started_s:5.1f} s  {text}")
            if not live:
                console.print(event_lines[-1])

        async def draw() -> None:
            with Live(
                _state_table(emulator, event_lines, 0.0), console=console, refresh_per_second=5
            ) as display:
                while True:
                    display.update(_state_table(emulator, event_lines, shares[-1]))
                    await anyio.sleep(0.2)

        async with anyio.create_task_group() as background:
            if live:
                background.start_soon(draw)
            experiment = parse_experiment(
                DEMO_EXPERIMENT.format(*(share * seconds * 1000 for share in EVENT_TIME_SHARES))
            )
            events = [event for step in experiment.variants["demo"] for event in scripted_events(step)]
            # The last clients can stay connected for several mean durations after the load ends.
            mean_duration_s = MEAN_DURATION_SHARE * seconds
            await run_script(
                emulator, Script(20.0, seconds, mean_duration_s, events), shares.append, report_event
            )
            background.cancel_scope.cancel()
        if live:
            for line in event_lines:
                console.print(line)
        rule_violations = emulator.violations()
        durations_s = sorted(s.duration_s for s in emulator.clients.answered if s.answer == "up")
        answered_count = len(emulator.clients.answered)
        served = len(durations_s)
        attempts = sum(trace.attempts for trace in emulator.checker.traces.values())
        table = Table(title="results")
        for column in ("", "figure"):
            table.add_column(column)
        for label, figure in (
            ("requests answered", f"{answered_count}"),
            ("served", f"{served} ({served / max(1, answered_count):.1%})"),
            (
                "set-up time, p50 / p99",
                f"{durations_s[served // 2] * 1000:.1f} / {durations_s[served * 99 // 100] * 1000:.1f} ms"
                if durations_s
                else "-",
            ),
            ("attempts a request", f"{attempts / max(1, answered_count):.3f}"),
            ("migrated and returned", f"{emulator.clients.counts['moved']}"),
            ("rules broken", f"{len(rule_violations)}"),
        ):
            table.add_row(label, figure)
        console.print(table)
        for line in rule_violations[:5]:
            console.print(line)
    return 1 if rule_violations else 0


def main(seconds: float = DURATION_S) -> int:
    """Run the demo with a live view on a terminal, or else with a printed line for each event. Returns the
    exit code: 0, 1 if a rule was broken, or 130 after Ctrl-C.
    """
    seconds = min(300.0, max(5.0, seconds))
    try:
        return anyio.run(run, seconds, Console().is_terminal)
    except KeyboardInterrupt:
        return 130
