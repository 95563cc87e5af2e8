"""The transform language: statements and functions, faults with their positions, golden cases, and the limits
that neither a source file nor shipped code can exceed."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.http1 import HEAD_LIMIT, Header
from cloverkeel.transforms import guard
from cloverkeel.transforms.compiler import Compiled, compile, failed_cases
from cloverkeel.transforms.protocol import Failure, Head, Manifest
from cloverkeel.transforms.source import SourceError, parse

MANIFEST = "transform t owner o phase request reads a, cookie writes a, b, cookie, c "
HEAD = Head(((b"A", b"One"), (b"Host", b"h"), (b"Cookie", b"x=1"), (b"cookie", b"y=2"), (b"D", b"d")))
DOUBLING = "def f0(s) = s + s\n" + "".join(f"def f{n}(s) = f{n - 1}(s + s)\n" for n in range(1, 18))
DOUBLING_CALLS = "".join(f"def f{n}(s) = f{n - 1}(s) + f{n - 1}(s)\n" for n in range(1, 20))
LONG = '"' + "x" * 8000 + '"'


def compiled_from(body: str, manifest: str = MANIFEST) -> Compiled:
    return compile(parse((manifest + body).encode()))


def written_after(body: str, head: Head = HEAD) -> dict[str, list[str]]:
    """Returns the headers in `writes` after a run, by name, as text."""
    result = compiled_from(body).run(head)
    assert isinstance(result, Head), result
    by_name: dict[str, list[str]] = {}
    for name, value in result.headers:
        if name.lower() in (b"a", b"b", b"c", b"cookie"):
            by_name.setdefault(name.decode(), []).append(value.decode())
    return by_name


UNCHANGED = {"A": ["One"], "Cookie": ["x=1"], "cookie": ["y=2"]}


@pytest.mark.parametrize(
    ("body", "changes"),
    [
        ('set a = "z"', {"A": ["z"]}),
        ('set b = header("a") + "!"', {"b": ["One!"]}),
        ('add a = "two"', {"a": ["two"]}),
        ("remove cookie", {"Cookie": None, "cookie": None}),
        ("rename a to c", {"A": None, "c": ["One"]}),
        ('rewrite cookie = replace(value, "=", ":")', {"Cookie": ["x:1"], "cookie": ["y:2"]}),
        ('when has("a") and not has("cookie") { set b = "1" } else { set b = "2" }', {"b": ["2"]}),
        ('when header("a") == "One" or fail_not_reached("") == "" { remove a }\n', None),
        ('set b = if contains(header("a"), "ne") then before("k=v", "=") else "no"', {"b": ["k"]}),
        (
            'set b = header("a", "none") + after("k=v", "=") + trim(" t ") + upper(lower("U"))',
            {"b": ["OnevtU"]},
        ),
        ('when starts_with(path, "/x") { set b = "1" }', {}),
        ('def twice(s) = s + s def four(s) = twice(twice(s)) set b = four("ab")', {"b": ["abababab"]}),
        ('set b = class + caller + path + (if "a" != "b" then "q\\"\\\\" else "")', {"b": ['q"\\']}),
    ],
)
def test_each_statement_and_function_has_its_effect(
    body: str, changes: dict[str, list[str] | None] | None
) -> None:
    if changes is None:  # an undefined function is a fault even if the call would never be evaluated
        with pytest.raises(SourceError, match="no function fail_not_reached"):
            compiled_from(body)
        return
    wanted = {name: value for name, value in (UNCHANGED | changes).items() if value is not None}
    assert written_after(body) == wanted


@pytest.mark.parametrize(
    ("source", "line", "column", "reason"),
    [
        (b"transform t\nowner o phase sideways", 2, 15, "must be request or response"),
        (b"transform t phase request", 1, 11, "no owner is given"),
        (b"transform t owner o phase request\nwrites b, Host", 2, 11, "cannot be written by a transform"),
        (
            b"transform t owner o phase request writes transfer-encoding",
            1,
            42,
            "cannot be written by a transform",
        ),
        (b"transform t owner o phase request steps 0", 1, 41, "1 to 10000"),
        (b"transform t owner o owner p phase request", 1, 27, "owner is given twice"),
        (b"transform t owner o phase request\nset b = ", 2, 9, "unexpected end of file"),
        (b"transform t owner o phase request\nwhile", 2, 1, "unexpected 'while'"),
        (b"transform t \xff", 1, 13, "not UTF-8"),
        (MANIFEST.encode() + b'\nset d = "x"', 2, 5, "d is not in writes"),
        (MANIFEST.encode() + b'\nset b = header("d")', 2, 16, "is not in reads"),
        (MANIFEST.encode() + b"\nrename b to c", 2, 8, "b is not in reads"),
        (MANIFEST.encode() + b'\nset b = "x\\r\\nEvil: 1"', 2, 9, "are escapes"),
        (MANIFEST.encode() + b'\nset b = "x\rEvil: 1"', 2, 9, "not printable ASCII"),
        (MANIFEST.encode() + b"\nset b = value", 2, 9, "value is not defined here"),
        (MANIFEST.encode() + b'\nset b = has("a")', 2, 9, "expected a string, got a boolean"),
        (MANIFEST.encode() + b'\nwhen "x" { }', 2, 6, "expected a boolean, got a string"),
        (MANIFEST.encode() + b"\ndef f(x) = f(x)", 2, 12, "no function f is defined above"),
        (MANIFEST.encode() + b"\ndef lower(x) = x", 2, 5, "lower is already defined"),
        (MANIFEST.encode() + b'\nset b = lower("a", "b")', 2, 9, "takes 1 argument(s), 2 given"),
        (MANIFEST.encode() + b'\nset "b d" = "x"', 2, 5, "not a valid header name"),
        (MANIFEST.encode() + b'\ncase "x" { in "nothing" }', 2, 15, "name: value"),
    ],
)
def test_each_fault_has_its_line_and_column(source: bytes, line: int, column: int, reason: str) -> None:
    with pytest.raises(SourceError) as raised:
        compile(parse(source))
    assert any((f.line, f.column) == (line, column) and reason in f.reason for f in raised.value.faults), str(
        raised.value
    )


def test_a_source_too_long_or_nested_too_deep_is_refused() -> None:
    for source in (MANIFEST + "#" * 40_000, MANIFEST + "when " + "not " * 5_000 + 'has("a") {}'):
        with pytest.raises(SourceError, match=r"longer|deeper"):
            parse(source.encode())
    chain = "def f0(s) = s + s " + "".join(f"def f{n}(s) = f{n - 1}(s) + s " for n in range(1, 60))
    with pytest.raises(SourceError, match="calls included"):
        compiled_from(chain)


def test_golden_cases_pass_or_report_the_difference() -> None:
    case = 'case "%s" { class %s in "A: 1" out "b: %s" out "a: 1" }'
    body = 'when class == "k" { set b = "x" } ' + case % ("sound", "k", "x") + case % ("wrong", "k", "y")
    (fault,) = failed_cases(compiled_from(body))
    assert fault.reason == 'case "wrong": - b: y; + b: x'
    failing = 'fail "why" case "fails" { fails } case "does not" { in "A: 1" out "A: 1" }'
    (fault,) = failed_cases(compiled_from(failing))
    assert fault.reason == 'case "does not": the run failed, raised: FailedError: why'


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (DOUBLING + 'set b = f17("x")', "raised"),  # fails at the limit of a text, long before 2^18 bytes
        # 2^20 calls without any text:
        ('def f0(s) = "" ' + DOUBLING_CALLS + 'set b = f19("x")', "over budget"),
        (f"set b = {LONG} + {LONG}", "raised"),
        (f'set b = replace({LONG}, "x", {LONG})', "raised"),
        (f"rewrite a = {LONG}\n" + f"add b = {LONG}\n" * 3, "over budget"),
        ('fail "no"', "raised"),
    ],
    ids=["doubled text", "doubled calls", "joined", "replaced", "added", "fail statement"],
)
def test_a_source_that_exceeds_a_limit_or_executes_fail_is_a_failure(body: str, kind: str) -> None:
    head = Head((*HEAD.headers, *[(b"A", b"y" * 10)] * 3000))
    result = compiled_from(body).run(head)
    assert isinstance(result, Failure) and result.kind == kind


def test_the_same_run_costs_the_same_steps_and_one_fewer_is_over_budget() -> None:
    body = 'set b = replace(header("a"), "O", "xx") rewrite cookie = upper(value)'
    need = next(
        n for n in range(1, 200) if isinstance(compiled_from(body, f"{MANIFEST} steps {n} ").run(HEAD), Head)
    )
    assert 5 < need < 50
    one_fewer = compiled_from(body, f"{MANIFEST} steps {need - 1} ")
    assert {one_fewer.run(HEAD) for _ in range(3)} == {Failure("over budget", f"more than {need - 1} steps")}


def test_sources_that_produce_much_text_stay_within_a_memory_limit() -> None:
    """Guards against sources that allocate much memory within the step budget, as a string doubled
    repeatedly did in Starlark: it took a gigabyte that the step hook did not see. A separate process, to
    measure its peak."""
    bodies = [
        DOUBLING + 'set b = f17("x")',
        f'set b = replace({LONG}, "x", {LONG})',
        "def w(s) = replace(s, \"x\", \"yy\")\n" + f"add b = w({LONG})\n" * 3,
        "add a = header(\"a\")\n" * 1500 + f"rewrite a = value + {LONG[:200]}\"",
    ]  # fmt: skip
    program = (
        "import resource, sys\n"
        "from cloverkeel.transforms.compiler import compile\n"
        "from cloverkeel.transforms.protocol import Head\n"
        "from cloverkeel.transforms.source import parse\n"
        "peak = lambda: resource.getrusage(resource.RUSAGE_SELF).ru_maxrss\n"
        "made = [compile(parse(source.encode())) for source in sys.argv[1:]]\n"
        "head = Head(tuple([(b'a', b'x' * 60)] * 1000))\n"
        "before = peak()\n"
        "for compiled in made * 20: compiled.run(head)\n"
        "print(peak() - before)\n"
    )
    sources = [f"{MANIFEST} steps 10000 {body}" for body in bodies]
    root = Path(__file__).parent.parent
    done = subprocess.run([sys.executable, "-c", program, *sources], cwd=root, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert int(done.stdout) < 8 * 1024  # KiB


class Shipped:
    """A transform of shipped code with an arbitrary `apply`."""

    sha256 = "0" * 64

    def __init__(self, apply: Callable[[Head], object]) -> None:
        self.manifest = Manifest("s", "o", "request", reads=frozenset({b"a"}), writes=frozenset({b"b"}))
        self._apply = apply

    def apply(self, head: Head) -> list[Header]:
        return self._apply(head)  # type: ignore[return-value]


@pytest.mark.parametrize(
    ("written", "kind"),
    [
        ([(b"b", b"x\r\nEvil: 1")], "bad output"),
        ([(b"b", b"x\x00")], "bad output"),
        ([(b"b", b"x\n")], "bad output"),
        ([(b"b: c", b"x")], "bad output"),
        ([(b"", b"x")], "bad output"),
        ([(b"d", b"x")], "bad output"),
        ([(b"Host", b"elsewhere")], "bad output"),
        ([(b"b", b"x" * HEAD_LIMIT)], "bad output"),
        ([("b", "x")], "bad output"),
        ([(b"b",)], "raised"),
        (None, "raised"),
    ],
)
def test_shipped_code_is_limited_to_its_manifest(written: object, kind: str) -> None:
    result = guard.run(Shipped(lambda head: written), HEAD)
    assert isinstance(result, Failure) and result.kind == kind


def test_shipped_code_sees_only_headers_in_reads_and_writes() -> None:
    seen: list[Header] = []

    def apply(head: Head) -> list[Header]:
        seen.extend(head.headers)
        return []

    with pytest.raises(ValueError, match="host"):
        Manifest("s", "o", "request", writes=frozenset({b"host"}))
    result = guard.run(Shipped(apply), HEAD)
    assert seen == [(b"A", b"One")]
    assert isinstance(result, Head) and (b"D", b"d") in result.headers


NAMES = st.sampled_from(["a", "b", "c", "cookie", "d", "host", "x-call-id"])
TEXTS = st.recursive(
    st.sampled_from(['"x"', '""', 'header("a")', "path", "class", '"=;"']),
    lambda inner: st.one_of(
        st.builds("({} + {})".format, inner, inner),
        st.builds("replace({}, {}, {})".format, inner, inner, inner),
        st.builds("{}({}, {})".format, st.sampled_from(["before", "after"]), inner, inner),
        st.builds("(if contains({}, {}) then {} else {})".format, inner, inner, inner, inner),
    ),
    max_leaves=12,
)
STATEMENTS = st.one_of(
    st.builds("set {} = {}".format, NAMES, TEXTS),
    st.builds("add {} = {}".format, NAMES, TEXTS),
    st.builds("remove {}".format, NAMES),
    st.builds("rename {} to {}".format, NAMES, NAMES),
    st.builds("rewrite {} = value + {}".format, NAMES, TEXTS),
    st.builds('when has("a") {{ set b = {} }} else {{ remove a }}'.format, TEXTS),
)
HEADS = st.lists(
    st.tuples(NAMES.map(str.encode), st.binary(max_size=30).map(lambda v: v.translate(None, b"\r\n\0"))),
    max_size=15,
)


@given(st.lists(STATEMENTS, max_size=6), HEADS, st.integers(1, 300))
def test_a_random_source_changes_only_headers_in_writes_and_is_deterministic(
    statements: list[str], headers: list[Header], steps: int
) -> None:
    try:
        compiled = compiled_from("\n".join(statements), f"{MANIFEST} steps {steps} ")
    except SourceError as error:
        assert error.faults
        return
    head = Head(tuple(headers), b"k", b"c", b"/p")
    result = compiled.run(head)
    assert result == compiled.run(head)
    if isinstance(result, Head):
        assert guard.differs_only_in(compiled.manifest.writes, head.headers, result.headers)
        new = set(result.headers) - set(headers)
        assert all(guard.HEADER_VALUE.fullmatch(value) for _, value in new)


@given(st.one_of(st.binary(max_size=200), st.text(max_size=200).map(lambda t: (MANIFEST + t).encode())))
def test_any_bytes_are_a_transform_or_have_faults_with_a_position(data: bytes) -> None:
    try:
        compile(parse(data))
    except SourceError as error:
        assert all(fault.line >= 1 and fault.column >= 1 for fault in error.faults)
