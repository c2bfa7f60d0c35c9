"""An invalid operators' file is rejected with the reason; the schedules of an accepted file always fit."""

import random
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from hypothesis import given
from hypothesis import settings as profile
from hypothesis import strategies as st

from gannetweir.cli import main
from gannetweir.config import ConfigError, load_config
from gannetweir.config.kdl import KdlError, Node, parse_document
from gannetweir.config.operators_file import OperatorsFileError, parse_routing_rules
from gannetweir.limits import Limits
from gannetweir.placement.events import RequestArrived
from gannetweir.placement.settings import RequestClass, Settings
from gannetweir.routing.route_admission import RouteAdmission, with_routed_classes
from gannetweir.routing.schedule import worst_case_schedule

ROOT = Path(__file__).parent.parent
CLASSES = [
    RequestClass("zone-view", 500_000, 2_000_000, 1.0, "repeatable", "all"),
    RequestClass("rider-area", 500_000, 3_000_000, 3.0, "repeatable", "all"),
    RequestClass("write-once", 500_000, 3_000_000, 1.0, "once", "all"),
]
SETTINGS = Settings(classes=CLASSES, max_attempts=6, groups_enabled=True, max_retry_after_us=1_500_000)
LIMITS = Limits(sockets=1024)
HEAD = "gannetweir version=1\n"


def operators_file(default: str = "", before: str = "", head: str = HEAD) -> str:
    return f"{head}{before}\ndefault {{\n{default}\n}}\n"


def route_section(body: str, match: str = 'class "rider-area"', name: str = "r") -> str:
    return f'route "{name}" {{\n match {{\n {match}\n }}\n {body}\n}}\n'


# Each case: its name, the file, the line that is reported (0: not checked), and words of the message.
BAD: list[tuple[str, str, int, list[str]]] = [
    ("no default", HEAD, 0, ["default", "missing"]),
    ("no version", operators_file(head=""), 0, ["version=1"]),
    ("another version", operators_file(head="gannetweir version=2\n"), 1, ["found 2", "1"]),
    ("an unknown node", operators_file(before="rooute"), 2, ["rooute", "unknown", "route"]),
    ("two defaults", operators_file(before="default"), 3, ["second time"]),
    ("a route after the default", operators_file() + route_section(""), 6, ["the default last"]),
    (
        "two routes of one name",
        operators_file(before=route_section("", 'class "zone-view"') + route_section("")),
        8,
        ["second route"],
    ),
    (
        "a route without a name",
        operators_file(before="route {\n match {\n again #true\n }\n}"),
        2,
        ["#null", "a name"],
    ),
    ("a route without a match", operators_file(before='route "a" {\n}'), 2, ["match is missing"]),
    ("an empty match", operators_file(before='route "a" {\n match {\n }\n}'), 3, ["empty"]),
    ("an unknown value", operators_file('tiemout "1s"'), 4, ["tiemout", "unknown", "attempt"]),
    ("a value twice", operators_file('attempt "300ms"\nattempt "200ms"'), 5, ["second time"]),
    ("a value missing", operators_file("attempt"), 4, ["0 values", "one value"]),
    ("two values", operators_file('attempt "300ms" "200ms"'), 4, ["2 values", "one value"]),
    ("a time without a unit", operators_file("attempt 300"), 4, ["300", "unit"]),
    ("an unknown unit", operators_file('attempt "300 parsecs"'), 4, ["parsecs", "unit"]),
    ("a time of 0", operators_file('attempt "0ms"'), 4, ["0ms", "over 0"]),
    ("a negative time", operators_file('attempt "-5ms"'), 4, ["-5ms", "unit"]),
    ("a time too long", operators_file('give-up "61m"'), 4, ["61m", "60m"]),
    ("attempts of 0", operators_file("attempts 0"), 4, ["found 0", "over 0"]),
    ("attempts as text", operators_file('attempts "3"'), 4, ['"3"', "whole number"]),
    ("attempts as a fraction", operators_file("attempts 2.5"), 4, ["2.5", "whole number"]),
    ("attempts as a flag", operators_file("attempts #true"), 4, ["#true", "whole number"]),
    ("too many attempts", operators_file("attempts 7"), 4, ["7", "at most 6"]),
    ("a rate that is not finite", operators_file("limits setups-per-second=#inf"), 4, ["inf", "finite"]),
    ("a rate that is not a number", operators_file("limits setups-per-second=#nan"), 4, ["nan", "finite"]),
    ("a rate of 0", operators_file("limits setups-per-second=0"), 4, ["found 0", "over 0"]),
    ("an unknown limit", operators_file("limits closed=5"), 4, ["closed", "open"]),
    (
        "a limit over the descriptors",
        operators_file("limits open=5000"),
        4,
        ["5000", "448", "1024 descriptors"],
    ),
    (
        "a backend's limit over the descriptors",
        operators_file("limits setups-at-backend=449"),
        4,
        ["449", "448"],
    ),
    (
        "the relay's limit over the descriptors",
        operators_file(before="relay {\n limits open=449\n}"),
        3,
        ["449", "448"],
    ),
    (
        "a backend's limit over the route's",
        operators_file("limits open=5 setups-at-backend=6"),
        4,
        ["6", "open 5"],
    ),
    (
        "a burst over the limit of open connections",
        operators_file("limits open=5 setups-per-second=1 burst=6"),
        4,
        ["6", "open 5"],
    ),
    ("a burst without a rate", operators_file("limits burst=6"), 4, ["setups-per-second"]),
    (
        "a budget without a floor",
        operators_file('retry-budget share="20%" window="10s"'),
        4,
        ["floor is missing"],
    ),
    (
        "a share over 100%",
        operators_file('retry-budget share="120%" window="10s" floor=1'),
        4,
        ["120%", "100%"],
    ),
    ("a share of 0%", operators_file('retry-budget share="0%" window="10s" floor=1'), 4, ["0%", "over"]),
    (
        "a share as a number",
        operators_file('retry-budget share=0.2 window="10s" floor=1'),
        4,
        ["0.2", "share"],
    ),
    (
        "a window too long",
        operators_file('retry-budget share="9%" window="11m" floor=1'),
        4,
        ["660000ms", "600000ms"],
    ),
    (
        "a budget for the relay",
        operators_file(before="relay {\n retry-budget floor=1\n}"),
        3,
        ["share is missing"],
    ),
    ("a wait of an unknown kind", operators_file('wait "random" first="1ms"'), 4, ["random", "exponential"]),
    ("a wait without a length", operators_file('wait "fixed"'), 4, ["first is missing"]),
    (
        "a wait whose maximum is less than its first",
        operators_file('wait "exponential" first="9ms" max="5ms"'),
        4,
        ["max 5ms", "first 9ms"],
    ),
    (
        "a wait without a second attempt",
        operators_file('attempts 1\nwait "fixed" first="9ms"'),
        5,
        ["attempts is 1"],
    ),
    (
        "attempts that would overlap",
        operators_file('attempts 3\nattempt "300ms"\nwait "every" first="500ms"'),
        6,
        ["zone-view", "500ms", "550ms", "overlap"],
    ),
    (
        "a fixed interval without an attempt time-out",
        operators_file('wait "every" first="500ms"'),
        4,
        ["overlap", "attempt time-out"],
    ),
    (
        "a fixed interval with jitter",
        operators_file('wait "every" first="2s" jitter="full"'),
        4,
        ["jitter", "overlap"],
    ),
    (
        "a hedged request",
        operators_file('hedge after="150ms"'),
        4,
        ["zone-view", "second copy", "may-duplicate is false"],
    ),
    (
        "a hedged request of one class",
        operators_file(before=route_section('hedge after="1ms"')),
        6,
        ["rider-area", "second copy"],
    ),
    (
        "a retry of a class that is not idempotent",
        operators_file(before=route_section('retry-on "may-have-run"', 'class "write-once"')),
        6,
        ["write-once", "once", "never-ran"],
    ),
    ("an unknown value of retry-on", operators_file('retry-on "always"'), 4, ["always", "may-have-run"]),
    (
        "an unknown class",
        operators_file(before=route_section("", 'class "rider"')),
        4,
        ["rider", "rider-area, write-once"],
    ),
    (
        "a class twice",
        operators_file(before=route_section("", 'class "rider-area" "rider-area"')),
        4,
        ["same value twice"],
    ),
    (
        "a prefix that is not hex",
        operators_file(before=route_section("", 'group-prefix "5g"')),
        4,
        ["5g", "hex"],
    ),
    (
        "a prefix too long",
        operators_file(before=route_section("", f'group-prefix "{"5" * 17}"')),
        4,
        ["hex digits"],
    ),
    ("a prefix as a number", operators_file(before=route_section("", "key-prefix 12")), 4, ["12", "hex"]),
    (
        "an unknown match",
        operators_file(before=route_section("", 'tenant "x"')),
        4,
        ["tenant", "group-prefix"],
    ),
    ("a flag as text", operators_file(before=route_section("", 'again "yes"')), 4, ["yes", "#true"]),
    (
        "a route behind one that takes all its requests",
        operators_file(
            before=route_section("", "again #true", "a")
            + route_section("", 'again #true\n class "zone-view"', "b")
        ),
        9,
        ["route b", "never reached", "route a"],
    ),
    (
        "a route behind two that together take all requests",
        operators_file(
            before=route_section("", "again #true", "a")
            + route_section("", "again #false", "b")
            + route_section("", 'class "zone-view"', "c")
        ),
        15,
        ["route c", "never reached"],
    ),
    (
        "a default that nothing reaches",
        operators_file(before=route_section("", "again #true", "a") + route_section("", "again #false", "b")),
        15,
        ["default", "never reached"],
    ),
    (
        "a group that no request has",
        operators_file(before=route_section("", f'group-prefix "{"0" * 16}"')),
        3,
        ["never reached"],
    ),
    (
        "a connect time over the platform's",
        operators_file('connect "300ms"'),
        4,
        ["300ms", "250ms", "connect-timeout-us"],
    ),
    (
        "a give-up time over the client's",
        operators_file('give-up "2500ms"'),
        4,
        ["zone-view", "2500ms", "2000ms"],
    ),
    (
        "an attempt over the give-up time",
        operators_file('give-up "1s"\nattempt "2s"'),
        5,
        ["2000ms", "1000ms"],
    ),
    (
        "a schedule that exceeds a deadline",
        operators_file('attempt "2s"\nattempts 2'),
        5,
        ["zone-view", "4706.67ms", "2000ms", "at most 646ms"],
    ),
    (
        "a schedule that fits only one of two classes",
        operators_file(before=route_section('attempts 3\nattempt "600ms"', 'class "rider-area" "zone-view"')),
        6,
        ["class zone-view", "2756.67ms", "756.666ms more", "2000ms", "at most 347ms", "at most 2 attempts"],
    ),
    (
        "waits that exceed the deadline",
        operators_file('attempts 2\nattempt "500ms"\nwait "fixed" first="1s"'),
        4,
        ["zone-view", "2706.67ms", "at most 146ms or at most 1 attempts"],
    ),
    ("not KDL", operators_file("attempts 3 }}"), 0, ["not KDL"]),
    ("a string without an end", operators_file() + '\nrelay "x', 7, ["not KDL"]),
    ("a block without an end", "gannetweir version=1\ndefault {\n", 0, ["not KDL"]),
    ("values on a block", operators_file().replace("default {", "default 5 {"), 3, ["found values"]),
    ("a block on a value", operators_file('attempt "1ms" {\n x\n}'), 4, ["no block here"]),
    ("a line too long", operators_file("//" + "x" * 3000), 4, ["3002 characters"]),
    ("nodes too deep", operators_file("a {\n" * 40 + "}\n" * 40), 0, ["deep"]),
    ("a number of a hundred thousand digits", operators_file("attempts " + "1" * 100_000), 4, ["characters"]),
    (
        "a name of control characters",
        operators_file(before='route "a\\u{7}b" {\n match {\n again #true\n }\n}'),
        2,
        ["name"],
    ),
]


@pytest.mark.parametrize(("text", "line", "words"), [case[1:] for case in BAD], ids=[case[0] for case in BAD])
def test_an_invalid_file_is_rejected_with_reason_and_line(text: str, line: int, words: list[str]) -> None:
    with pytest.raises(OperatorsFileError) as caught:
        parse_routing_rules(text, SETTINGS, LIMITS)
    found = [m for m in caught.value.mistakes if all(word in m.text("f.kdl") for word in words)]
    assert found, str(caught.value)
    assert not line or line in [m.line for m in found], str(caught.value)
    assert all(len(m.text("f.kdl").splitlines()) == 1 for m in caught.value.mistakes)


def test_all_mistakes_are_reported_together_in_the_order_of_lines() -> None:
    text = operators_file(
        before=route_section('attempts 9\nattempt "4"', 'class "rider"') + route_section("", 'again "x"', "b")
    )
    with pytest.raises(OperatorsFileError) as caught:
        parse_routing_rules(text, SETTINGS, LIMITS)
    assert [m.line for m in caught.value.mistakes] == [4, 6, 7, 11]
    assert len(str(caught.value).splitlines()) == 4


def test_the_platforms_settings_bound_what_a_file_may_state() -> None:
    text = operators_file("attempts 4")
    parse_routing_rules(text, SETTINGS, LIMITS)
    with pytest.raises(OperatorsFileError, match=r"at most 3 by the platform's limits.max-attempts"):
        parse_routing_rules(text, Settings(classes=CLASSES, max_attempts=3), LIMITS)
    without_marks = Settings(classes=CLASSES, max_attempts=6, clients_mark_retries=False)
    with pytest.raises(OperatorsFileError, match="clients do not mark retries"):
        parse_routing_rules(operators_file(before=route_section("", "retry #true")), without_marks, LIMITS)
    with pytest.raises(OperatorsFileError, match="no groups"):
        parse_routing_rules(
            operators_file(before=route_section("", 'group-prefix "5"')), Settings(classes=CLASSES), LIMITS
        )
    with_hedging = Settings(classes=CLASSES, max_attempts=6, allows_hedged_requests=True)
    with pytest.raises(OperatorsFileError, match="one flow at a time"):
        parse_routing_rules(operators_file('hedge after="1ms"'), with_hedging, LIMITS)


def test_a_schedule_that_no_request_takes_is_not_checked() -> None:
    """The default's schedule does not fit zone-view, but another route takes all requests of that class."""
    before = route_section('attempt "300ms"\nattempts 2', 'class "zone-view"')
    parse_routing_rules(operators_file('attempts 2\nattempt "1s"', before), SETTINGS, LIMITS)
    with pytest.raises(OperatorsFileError, match="class zone-view"):
        parse_routing_rules(operators_file('attempts 2\nattempt "1s"'), SETTINGS, LIMITS)


def test_the_attempt_timeout_that_a_mistake_proposes_fits() -> None:
    text = operators_file('attempts 3\nattempt "900ms"\nwait "exponential" first="33ms"')
    with pytest.raises(OperatorsFileError) as caught:
        parse_routing_rules(text, SETTINGS, LIMITS)
    allowed = min(m.allowed for m in caught.value.mistakes)
    value = allowed.split("at most ")[1].split(" ")[0]
    parse_routing_rules(text.replace("900ms", value), SETTINGS, LIMITS)
    with pytest.raises(OperatorsFileError):
        parse_routing_rules(text.replace("900ms", f"{int(value[:-2]) + 1}ms"), SETTINGS, LIMITS)


TIMES = st.integers(1, 1500).map(lambda n: f"{n}ms")
BODIES = st.builds(
    lambda parts: "\n".join(part for part in parts if part),
    st.tuples(
        st.one_of(st.just(""), TIMES.map(lambda t: f'give-up "{t}"')),
        st.one_of(st.just(""), st.integers(1, 300).map(lambda n: f'connect "{n}ms"')),
        st.one_of(st.just(""), TIMES.map(lambda t: f'attempt "{t}"')),
        st.one_of(st.just(""), st.integers(1, 7).map(lambda n: f"attempts {n}")),
        st.one_of(
            st.just(""),
            st.builds(
                lambda kind, t: f'wait "{kind}" first="{t}"',
                st.sampled_from(["fixed", "exponential", "every"]),
                TIMES,
            ),
        ),
    ),
)


@profile(max_examples=400, deadline=None, derandomize=True)
@given(BODIES, BODIES, st.integers(1, 6), st.integers(200, 4000), st.integers(200, 4000))
def test_no_accepted_schedule_exceeds_its_request_timeout(
    route_body: str, default_body: str, max_attempts: int, first_ms: int, second_ms: int
) -> None:
    classes = [
        RequestClass("zone-view", 500_000, first_ms * 1000, 1.0, "repeatable", "all"),
        RequestClass("rider-area", 500_000, second_ms * 1000, 1.0, "repeatable", "all"),
    ]
    settings = Settings(classes=classes, max_attempts=max_attempts)
    try:
        rules = parse_routing_rules(operators_file(default_body, route_section(route_body)), settings, LIMITS)
    except OperatorsFileError:
        return
    routed = with_routed_classes(settings, rules)
    admission = RouteAdmission(rules, routed)
    for number, request_class in enumerate(classes):
        plan = worst_case_schedule(
            routed.classes[admission.class_index_for(RequestArrived(0, number))], settings, LIMITS
        )
        assert 0 < plan.total_us <= plan.request_timeout_us <= request_class.deadline_us
        assert all(a.end_us == b.start_us for a, b in zip(plan.steps, plan.steps[1:], strict=False))


def all_nodes(nodes: list[Node]) -> list[Node]:
    return [each for node in nodes for each in (node, *all_nodes(node.children))]


@pytest.mark.parametrize(
    "text",
    [
        'a\n/* x\n /* y */ \n*/ b { c; d "}{" { e }\n}\n/- f {\n g\n}\nh /- { i\n } {\n j\n }\n// k {\nl',
        'a """\n x {\n """\nb #"raw " { "#\nc \\\n 5 \\ // on\n x=#true\n"d d" (t)"v"',
        "a;b ;c { d ; e { }; }\n\n/-a b\nf",
        "\ufeffa\r\nb {\r\n  c\r\n}",
    ],
)
def test_every_node_has_the_line_where_it_begins(text: str) -> None:
    lines = text.split("\n")

    found = all_nodes(parse_document(text))
    assert found
    assert all(node.name in lines[node.line - 1] for node in found), found


@profile(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet='ab{}\n;"/\\-*#=( )1', max_size=60))
def test_any_text_is_parsed_or_rejected(text: str) -> None:
    try:
        nodes = parse_document(text)
    except KdlError:
        return
    assert all(0 <= node.line <= text.count("\n") + 1 for node in nodes)


def test_a_malformed_copy_of_the_example_is_parsed_or_rejected() -> None:
    good = (ROOT / "deploy/operators.kdl").read_text()
    rng = random.Random(5)
    messages: list[str] = []
    for _ in range(300):
        at, cut = rng.randrange(len(good)), rng.randrange(1, 30)
        bad = good[:at] + rng.choice(["", "{", "}", '"', "\x00", "-", "9" * 50]) + good[at + cut :]
        try:
            parse_routing_rules(bad, SETTINGS, LIMITS)
        except OperatorsFileError as error:
            messages.append(str(error))
    assert all(messages)
    assert len(messages) > 150


def platform_config(folder: Path, **changes: object) -> Path:
    def class_json(c: RequestClass) -> dict[str, object]:
        return {
            "name": c.name,
            "hard-limit-us": c.deadline_us,
            "aim-us": c.latency_objective_us,
            "idempotency": c.idempotency,
        }

    names = {"zone-view", "rider-area", "closure-feed", "outlet-status"}
    base = RequestClass("", 500_000, 3_000_000, idempotency="repeatable")
    classes = [class_json(base) | {"name": n} for n in sorted(names)]
    for c in classes:
        if c["name"] in ("zone-view", "closure-feed"):
            c["hard-limit-us"] = 2_000_000
    limits = {"max-attempts": 6, "connect-timeout-us": 250_000}
    data = {
        "name": "n3",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": {},
        "settings": {
            "categories": classes,
            "limits": limits,
            "family-info": {"groups": True},
            "registry-mode": "on_request",
        },
    }
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(data | changes))
    return path


def test_check_and_explain_print_results_and_return_exit_codes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good, platform = str(ROOT / "deploy/operators.kdl"), str(platform_config(tmp_path))
    assert main(["check", good]) == 0
    assert "on its own" in capsys.readouterr().out
    assert main(["check", good, "--platform", platform]) == 0
    assert "valid together" in capsys.readouterr().out
    assert main(["explain", good, "--platform", platform, "--class", "rider-area"]) == 0
    out = capsys.readouterr().out
    assert "route rider " in out
    assert "attempt 3" in out
    assert "to spare" in out
    assert "2756.67ms of 3000ms" in out
    assert main(["explain", good, "--platform", platform, "--class", "zone-view", "--group", "5c"]) == 0
    assert "route default" in capsys.readouterr().out
    for words, message in (
        (["explain", good, "--platform", platform, "--class", "none"], "none of"),
        (["explain", good, "--platform", platform, "--class", "zone-view", "--key", "xyz"], "hex"),
        (["check", "/nowhere.kdl"], "No such file"),
        (["check", good, "--platform", good], "not JSON"),
    ):
        assert main(words) == 2
        assert message in capsys.readouterr().err
    bad = tmp_path / "bad.kdl"
    bad.write_text(operators_file("attempts 9\nattempt 5"))
    assert main(["check", str(bad)]) == 2
    assert capsys.readouterr().err.splitlines()[0].startswith(f"gannetweir: {bad}:4: default attempts: 9;")
    bad.write_bytes(b"\xff")
    assert main(["check", str(bad)]) == 2
    assert "not UTF-8" in capsys.readouterr().err


def test_both_files_are_valid_together_or_neither_is_applied(tmp_path: Path) -> None:
    operators = tmp_path / "o.kdl"
    operators.write_text(operators_file('attempt "400ms"\nattempts 2'))
    env = {"RELAY_CONFIG": str(platform_config(tmp_path)), "RELAY_OPERATORS": str(operators)}
    previous = load_config(env)
    assert previous.routing_rules is not None
    assert len(previous.settings.classes) == 8
    assert load_config({"RELAY_CONFIG": env["RELAY_CONFIG"]}).routing_rules is None
    operators.write_text(operators_file("attempts 0"))
    with pytest.raises(ConfigError, match="over 0"):
        load_config(env, previous)
    operators.write_text(operators_file('attempt "400ms"\nattempts 2'))
    classes = [{"name": "zone-view", "hard-limit-us": 900_000, "aim-us": 1, "idempotency": "repeatable"}]
    limits = {"max-attempts": 6, "connect-timeout-us": 250_000}
    platform_config(
        tmp_path,
        settings={
            "categories": classes,
            "limits": limits,
            "family-info": {"groups": True},
            "registry-mode": "on_request",
        },
    )
    with pytest.raises(ConfigError, match="class zone-view: the worst case"):
        load_config(env, previous)


def test_a_wrong_file_ends_a_start_with_code_2_and_leaves_a_running_relay_unchanged(tmp_path: Path) -> None:
    operators = tmp_path / "o.kdl"
    operators.write_text(operators_file("attempts 0"))
    env = {"RELAY_CONFIG": str(platform_config(tmp_path)), "PATH": ""}
    command = [sys.executable, "-m", "gannetweir", "serve", "--operators", str(operators), "--log", "json"]
    process = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, check=False, timeout=60)
    assert process.returncode == 2
    assert b"default attempts: found 0" in process.stderr
    operators.write_text(operators_file("attempts 2"))
    with subprocess.Popen(command, env=env, cwd=ROOT, stderr=subprocess.PIPE) as relay:
        assert relay.stderr is not None
        try:
            assert relay.stderr.readline()  # the relay runs: its watch has failed, since no discovery listens
            bad = operators_file("attempts 0")
            for text, word in (
                (operators_file("attempts 3"), "done"),
                (bad, "found 0"),
                (operators_file(), "done"),
            ):
                operators.write_text(text)
                relay.send_signal(signal.SIGHUP)
                while b"reload" not in (line := relay.stderr.readline()):
                    assert line
                assert word in orjson.loads(line)["event"], line
        finally:
            relay.terminate()
            relay.stderr.read()
