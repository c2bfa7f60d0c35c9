"""An operators' file that can't work is refused with the reason; one that is accepted always fits."""

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
from gannetweir.config.kdl import KdlError, parse_document
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


def file(default: str = "", before: str = "", head: str = HEAD) -> str:
    return f"{head}{before}\ndefault {{\n{default}\n}}\n"


def route(body: str, match: str = 'class "rider-area"', name: str = "r") -> str:
    return f'route "{name}" {{\n match {{\n {match}\n }}\n {body}\n}}\n'


# what is wrong, the file, the line it is told at, and words of the message
BAD: list[tuple[str, str, int, list[str]]] = [
    ("no default", HEAD, 0, ["default", "missing"]),
    ("no version", file(head=""), 0, ["version=1"]),
    ("another version", file(head="gannetweir version=2\n"), 1, ["found 2", "1"]),
    ("an unknown node", file(before="rooute"), 2, ["rooute", "unknown", "route"]),
    ("two defaults", file(before="default"), 3, ["second time"]),
    ("a route after the default", file() + route(""), 6, ["the default last"]),
    ("two routes of one name", file(before=route("", 'class "zone-view"') + route("")), 8, ["second route"]),
    ("a route without a name", file(before="route {\n match {\n again #true\n }\n}"), 2, ["#null", "a name"]),
    ("a route without a match", file(before='route "a" {\n}'), 2, ["match is missing"]),
    ("an empty match", file(before='route "a" {\n match {\n }\n}'), 3, ["empty"]),
    ("an unknown value", file('tiemout "1s"'), 4, ["tiemout", "unknown", "attempt"]),
    ("a value twice", file('attempt "300ms"\nattempt "200ms"'), 5, ["second time"]),
    ("a value missing", file("attempt"), 4, ["0 values", "one value"]),
    ("two values", file('attempt "300ms" "200ms"'), 4, ["2 values", "one value"]),
    ("a time without a unit", file("attempt 300"), 4, ["300", "unit"]),
    ("a unit that is none", file('attempt "300 parsecs"'), 4, ["parsecs", "unit"]),
    ("a time of 0", file('attempt "0ms"'), 4, ["0ms", "over 0"]),
    ("a time under 0", file('attempt "-5ms"'), 4, ["-5ms", "unit"]),
    ("a time too long", file('give-up "61m"'), 4, ["61m", "60m"]),
    ("attempts of 0", file("attempts 0"), 4, ["found 0", "over 0"]),
    ("attempts as text", file('attempts "3"'), 4, ['"3"', "whole number"]),
    ("attempts and a half", file("attempts 2.5"), 4, ["2.5", "whole number"]),
    ("attempts as a flag", file("attempts #true"), 4, ["#true", "whole number"]),
    ("too many attempts", file("attempts 7"), 4, ["7", "at most 6"]),
    ("a rate that is not finite", file("limits setups-per-second=#inf"), 4, ["inf", "finite"]),
    ("a rate that is no number", file("limits setups-per-second=#nan"), 4, ["nan", "finite"]),
    ("a rate of 0", file("limits setups-per-second=0"), 4, ["found 0", "over 0"]),
    ("an unknown limit", file("limits closed=5"), 4, ["closed", "open"]),
    ("a limit over the descriptors", file("limits open=5000"), 4, ["5000", "448", "1024 descriptors"]),
    ("a backend's limit likewise", file("limits setups-at-backend=449"), 4, ["449", "448"]),
    ("the relay's limit likewise", file(before="relay {\n limits open=449\n}"), 3, ["449", "448"]),
    ("a backend's limit over the route's", file("limits open=5 setups-at-backend=6"), 4, ["6", "open 5"]),
    ("a burst over what may be open", file("limits open=5 setups-per-second=1 burst=6"), 4, ["6", "open 5"]),
    ("a burst without a rate", file("limits burst=6"), 4, ["setups-per-second"]),
    ("a budget without a floor", file('retry-budget share="20%" window="10s"'), 4, ["floor is missing"]),
    ("a share over the whole", file('retry-budget share="120%" window="10s" floor=1'), 4, ["120%", "100%"]),
    ("a share of nothing", file('retry-budget share="0%" window="10s" floor=1'), 4, ["0%", "over"]),
    ("a share as a number", file('retry-budget share=0.2 window="10s" floor=1'), 4, ["0.2", "share"]),
    ("a window too long", file('retry-budget share="9%" window="11m" floor=1'), 4, ["660000ms", "600000ms"]),
    ("a budget for the relay", file(before="relay {\n retry-budget floor=1\n}"), 3, ["share is missing"]),
    ("a wait of no known kind", file('wait "random" first="1ms"'), 4, ["random", "exponential"]),
    ("a wait without a length", file('wait "fixed"'), 4, ["first is missing"]),
    ("a wait that shrinks", file('wait "exponential" first="9ms" max="5ms"'), 4, ["max 5ms", "first 9ms"]),
    ("a wait for nothing", file('attempts 1\nwait "fixed" first="9ms"'), 5, ["attempts is 1"]),
    (
        "a wait over an overlap",
        file('attempts 3\nattempt "300ms"\nwait "every" first="500ms"'),
        6,
        ["zone-view", "500ms", "550ms", "overlap"],
    ),
    ("a cadence without an end", file('wait "every" first="500ms"'), 4, ["overlap", "attempt time-out"]),
    ("a cadence with jitter", file('wait "every" first="2s" jitter="full"'), 4, ["jitter", "overlap"]),
    ("a second copy", file('hedge after="150ms"'), 4, ["zone-view", "second copy", "may-duplicate is false"]),
    ("a second copy of one class", file(before=route('hedge after="1ms"')), 6, ["rider-area", "second copy"]),
    (
        "what may not be repeated",
        file(before=route('retry-on "may-have-run"', 'class "write-once"')),
        6,
        ["write-once", "once", "never-ran"],
    ),
    ("a word that is none", file('retry-on "always"'), 4, ["always", "may-have-run"]),
    ("an unknown class", file(before=route("", 'class "rider"')), 4, ["rider", "rider-area, write-once"]),
    ("a class twice", file(before=route("", 'class "rider-area" "rider-area"')), 4, ["same value twice"]),
    ("a prefix that is not hex", file(before=route("", 'group-prefix "5g"')), 4, ["5g", "hex"]),
    ("a prefix too long", file(before=route("", f'group-prefix "{"5" * 17}"')), 4, ["hex digits"]),
    ("a prefix as a number", file(before=route("", "key-prefix 12")), 4, ["12", "hex"]),
    ("an unknown match", file(before=route("", 'tenant "x"')), 4, ["tenant", "group-prefix"]),
    ("a flag as text", file(before=route("", 'again "yes"')), 4, ["yes", "#true"]),
    (
        "a route behind one that takes all",
        file(before=route("", "again #true", "a") + route("", 'again #true\n class "zone-view"', "b")),
        9,
        ["route b", "never reached", "route a"],
    ),
    (
        "a route behind two that take all",
        file(
            before=route("", "again #true", "a")
            + route("", "again #false", "b")
            + route("", 'class "zone-view"', "c")
        ),
        15,
        ["route c", "never reached"],
    ),
    (
        "a default that nothing reaches",
        file(before=route("", "again #true", "a") + route("", "again #false", "b")),
        15,
        ["default", "never reached"],
    ),
    (
        "a group that no request has",
        file(before=route("", f'group-prefix "{"0" * 16}"')),
        3,
        ["never reached"],
    ),
    (
        "a connect time over the platform's",
        file('connect "300ms"'),
        4,
        ["300ms", "250ms", "connect-timeout-us"],
    ),
    ("a give-up time over the client's", file('give-up "2500ms"'), 4, ["zone-view", "2500ms", "2000ms"]),
    ("an attempt over the give-up time", file('give-up "1s"\nattempt "2s"'), 5, ["2000ms", "1000ms"]),
    (
        "a plan for no class",
        file('attempt "2s"\nattempts 2'),
        5,
        ["zone-view", "4706.67ms", "2000ms", "at most 646ms"],
    ),
    (
        "a plan that fits one class and not the other",
        file(before=route('attempts 3\nattempt "600ms"', 'class "rider-area" "zone-view"')),
        6,
        ["class zone-view", "2756.67ms", "756.666ms more", "2000ms", "at most 347ms", "at most 2 attempts"],
    ),
    (
        "waits that do not fit",
        file('attempts 2\nattempt "500ms"\nwait "fixed" first="1s"'),
        4,
        ["zone-view", "2706.67ms", "at most 146ms or at most 1 attempts"],
    ),
    ("not KDL", file("attempts 3 }}"), 0, ["not KDL"]),
    ("a string without an end", file() + '\nrelay "x', 7, ["not KDL"]),
    ("a block without an end", "gannetweir version=1\ndefault {\n", 0, ["not KDL"]),
    ("values on a block", file().replace("default {", "default 5 {"), 3, ["found values"]),
    ("a block on a value", file('attempt "1ms" {\n x\n}'), 4, ["no block here"]),
    ("a line too long", file("//" + "x" * 3000), 4, ["3002 characters"]),
    ("nodes too deep", file("a {\n" * 40 + "}\n" * 40), 0, ["deep"]),
    ("a number of a hundred thousand digits", file("attempts " + "1" * 100_000), 4, ["characters"]),
    (
        "a name of control characters",
        file(before='route "a\\u{7}b" {\n match {\n again #true\n }\n}'),
        2,
        ["name"],
    ),
]


@pytest.mark.parametrize(("text", "line", "words"), [case[1:] for case in BAD], ids=[case[0] for case in BAD])
def test_a_bad_file_is_refused_with_its_reason(text: str, line: int, words: list[str]) -> None:
    with pytest.raises(OperatorsFileError) as caught:
        parse_routing_rules(text, SETTINGS, LIMITS)
    found = [m for m in caught.value.mistakes if all(word in m.text("f.kdl") for word in words)]
    assert found, str(caught.value)
    assert not line or line in [m.line for m in found], str(caught.value)
    assert all(len(m.text("f.kdl").splitlines()) == 1 for m in caught.value.mistakes)


def test_all_mistakes_come_in_one_go_in_the_order_of_the_lines() -> None:
    text = file(before=route('attempts 9\nattempt "4"', 'class "rider"') + route("", 'again "x"', "b"))
    with pytest.raises(OperatorsFileError) as caught:
        parse_routing_rules(text, SETTINGS, LIMITS)
    assert [m.line for m in caught.value.mistakes] == [4, 6, 7, 11]
    assert len(str(caught.value).splitlines()) == 4


def test_what_the_platform_allows_decides() -> None:
    text = file("attempts 4")
    parse_routing_rules(text, SETTINGS, LIMITS)
    with pytest.raises(OperatorsFileError, match=r"at most 3 by the platform's limits.max-attempts"):
        parse_routing_rules(text, Settings(classes=CLASSES, max_attempts=3), LIMITS)
    with pytest.raises(OperatorsFileError, match="clients do not mark retries"):
        marked = Settings(classes=CLASSES, max_attempts=6, clients_mark_retries=False)
        parse_routing_rules(file(before=route("", "retry #true")), marked, LIMITS)
    with pytest.raises(OperatorsFileError, match="no groups"):
        parse_routing_rules(file(before=route("", 'group-prefix "5"')), Settings(classes=CLASSES), LIMITS)
    with pytest.raises(OperatorsFileError, match="one flow at a time"):
        twice = Settings(classes=CLASSES, max_attempts=6, allows_hedged_requests=True)
        parse_routing_rules(file('hedge after="1ms"'), twice, LIMITS)


def test_a_plan_that_no_request_takes_is_not_summed() -> None:
    """The default would not fit rider-area's first half; a route of its own takes all of that class."""
    before = route('attempt "300ms"\nattempts 2', 'class "zone-view"')
    parse_routing_rules(file('attempts 2\nattempt "1s"', before), SETTINGS, LIMITS)
    with pytest.raises(OperatorsFileError, match="class zone-view"):
        parse_routing_rules(file('attempts 2\nattempt "1s"'), SETTINGS, LIMITS)


def test_the_value_that_would_fit_does_fit() -> None:
    text = file('attempts 3\nattempt "900ms"\nwait "exponential" first="33ms"')
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
def test_no_accepted_file_has_a_schedule_over_its_give_up_time(
    one: str, other: str, most: int, first_ms: int, second_ms: int
) -> None:
    classes = [
        RequestClass("zone-view", 500_000, first_ms * 1000, 1.0, "repeatable", "all"),
        RequestClass("rider-area", 500_000, second_ms * 1000, 1.0, "repeatable", "all"),
    ]
    told = Settings(classes=classes, max_attempts=most)
    try:
        rules = parse_routing_rules(file(other, route(one)), told, LIMITS)
    except OperatorsFileError:
        return
    routed = with_routed_classes(told, rules)
    keeper = RouteAdmission(rules, routed)
    for number, cls in enumerate(classes):
        plan = worst_case_schedule(
            routed.classes[keeper.class_index_for(RequestArrived(0, number))], told, LIMITS
        )
        assert 0 < plan.total_us <= plan.request_timeout_us <= cls.deadline_us
        assert all(a.end_us == b.start_us for a, b in zip(plan.steps, plan.steps[1:], strict=False))


# ---- the document


@pytest.mark.parametrize(
    "text",
    [
        'a\n/* x\n /* y */ \n*/ b { c; d "}{" { e }\n}\n/- f {\n g\n}\nh /- { i\n } {\n j\n }\n// k {\nl',
        'a """\n x {\n """\nb #"raw " { "#\nc \\\n 5 \\ // on\n x=#true\n"d d" (t)"v"',
        "a;b ;c { d ; e { }; }\n\n/-a b\nf",
        "\ufeffa\r\nb {\r\n  c\r\n}",
    ],
)
def test_every_node_has_the_line_it_begins_at(text: str) -> None:
    lines = text.split("\n")

    def walk(nodes: list) -> list:
        return [n for node in nodes for n in (node, *walk(node.children))]

    found = walk(parse_document(text))
    assert found and all(node.name in lines[node.line - 1] for node in found), found


@profile(max_examples=300, deadline=None, derandomize=True)
@given(st.text(alphabet='ab{}\n;"/\\-*#=( )1', max_size=60))
def test_any_text_is_read_or_refused(text: str) -> None:
    try:
        nodes = parse_document(text)
    except KdlError:
        return
    assert all(0 <= node.line <= text.count("\n") + 1 for node in nodes)


def test_a_broken_copy_of_the_example_is_read_or_refused_never_a_crash() -> None:
    good = (ROOT / "deploy/operators.kdl").read_text()
    rng = random.Random(5)
    refused = 0
    for _ in range(300):
        at, cut = rng.randrange(len(good)), rng.randrange(1, 30)
        bad = good[:at] + rng.choice(["", "{", "}", '"', "\x00", "-", "9" * 50]) + good[at + cut :]
        try:
            parse_routing_rules(bad, SETTINGS, LIMITS)
        except OperatorsFileError as error:
            refused += 1
            assert str(error)
    assert refused > 150


# ---- with the platform's file, on the command line


def platform(folder: Path, **changes: object) -> Path:
    def told(c: RequestClass) -> dict[str, object]:
        return {
            "name": c.name,
            "hard-limit-us": c.deadline_us,
            "aim-us": c.latency_objective_us,
            "idempotency": c.idempotency,
        }

    names = {"zone-view", "rider-area", "closure-feed", "outlet-status"}
    base = RequestClass("", 500_000, 3_000_000, idempotency="repeatable")
    classes = [told(base) | {"name": n} for n in sorted(names)]
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


def test_check_and_explain_and_their_codes(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good, told = str(ROOT / "deploy/operators.kdl"), str(platform(tmp_path))
    assert main(["check", good]) == 0
    assert "by itself" in capsys.readouterr().out
    assert main(["check", good, "--platform", told]) == 0
    assert "right together" in capsys.readouterr().out
    assert main(["explain", good, "--platform", told, "--class", "rider-area"]) == 0
    out = capsys.readouterr().out
    assert "route rider " in out
    assert "attempt 3" in out
    assert "to spare" in out
    assert "2756.67ms of 3000ms" in out
    assert main(["explain", good, "--platform", told, "--class", "zone-view", "--group", "5c"]) == 0
    assert "route default" in capsys.readouterr().out
    for words, said in (
        (["explain", good, "--platform", told, "--class", "none"], "none of"),
        (["explain", good, "--platform", told, "--class", "zone-view", "--key", "xyz"], "hex"),
        (["check", "/nowhere.kdl"], "No such file"),
        (["check", good, "--platform", good], "not JSON"),
    ):
        assert main(words) == 2
        assert said in capsys.readouterr().err
    bad = tmp_path / "bad.kdl"
    bad.write_text(file("attempts 9\nattempt 5"))
    assert main(["check", str(bad)]) == 2
    assert capsys.readouterr().err.splitlines()[0].startswith(f"gannetweir: {bad}:4: default attempts: 9;")
    bad.write_bytes(b"\xff")
    assert main(["check", str(bad)]) == 2
    assert "not UTF-8" in capsys.readouterr().err


def test_both_files_are_right_together_or_neither_is_taken(tmp_path: Path) -> None:
    operators = tmp_path / "o.kdl"
    operators.write_text(file('attempt "400ms"\nattempts 2'))
    env = {"RELAY_CONFIG": str(platform(tmp_path)), "RELAY_OPERATORS": str(operators)}
    standing = load_config(env)
    assert standing.routing_rules is not None
    assert len(standing.settings.classes) == 8
    assert load_config({"RELAY_CONFIG": env["RELAY_CONFIG"]}).routing_rules is None
    operators.write_text(file("attempts 0"))
    with pytest.raises(ConfigError, match="over 0"):
        load_config(env, standing)
    operators.write_text(file('attempt "400ms"\nattempts 2'))
    classes = [{"name": "zone-view", "hard-limit-us": 900_000, "aim-us": 1, "idempotency": "repeatable"}]
    limits = {"max-attempts": 6, "connect-timeout-us": 250_000}
    platform(
        tmp_path,
        settings={
            "categories": classes,
            "limits": limits,
            "family-info": {"groups": True},
            "registry-mode": "on_request",
        },
    )
    with pytest.raises(ConfigError, match="class zone-view: the worst case"):
        load_config(env, standing)


def test_a_bad_file_at_start_ends_with_code_2_and_at_sighup_changes_nothing(tmp_path: Path) -> None:
    operators = tmp_path / "o.kdl"
    operators.write_text(file("attempts 0"))
    env = {"RELAY_CONFIG": str(platform(tmp_path)), "PATH": ""}
    command = [sys.executable, "-m", "gannetweir", "serve", "--operators", str(operators), "--log", "json"]
    done = subprocess.run(command, env=env, cwd=ROOT, capture_output=True, check=False, timeout=60)
    assert done.returncode == 2
    assert b"default attempts: found 0" in done.stderr
    operators.write_text(file("attempts 2"))
    with subprocess.Popen(command, env=env, cwd=ROOT, stderr=subprocess.PIPE) as relay:
        assert relay.stderr is not None
        try:
            assert relay.stderr.readline()  # the watch has failed, nobody is there: it runs
            bad = file("attempts 0")
            for text, word in ((file("attempts 3"), "done"), (bad, "found 0"), (file(), "done")):
                operators.write_text(text)
                relay.send_signal(signal.SIGHUP)
                while b"reload" not in (line := relay.stderr.readline()):
                    assert line
                assert word in orjson.loads(line)["event"], line
        finally:
            relay.terminate()
            relay.stderr.read()
