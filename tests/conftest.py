"""Expected failures from KNOWN-RED.txt: tests of known, unfixed faults, which run, may fail and are reported.

Entries are separated by blank lines. Each has a line `name: value` for every field of `Entry`; `kind` may be
left out unless it is `flaky`. If the test of a strict entry passes, the run fails until the entry is removed;
the test of a flaky entry may pass or fail.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable

    from _pytest.terminal import TerminalReporter

STRICT, FLAKY = "strict", "flaky"


@dataclass(frozen=True)
class Entry:
    """A test that is expected to fail, or that fails only at times."""

    test: str  # as pytest prints it: tests/test_x.py::test_y
    command: str  # reproduces the failure
    seed: str  # "none" if the test uses no random numbers
    seen: str  # the failure that was observed, and how often
    issue: str
    kind: str = STRICT  # FLAKY if the test fails only at times


LISTED = pytest.StashKey[dict[str, Entry]]()
RESULTS = pytest.StashKey[dict[str, str]]()


def read_entry(block: str) -> Entry:
    """Parses one entry. Raises ValueError with the reason if it is invalid."""
    values: dict[str, str] = {}
    for line in block.splitlines():
        name, separator, value = line.partition(":")
        if not separator or name not in {each.name for each in fields(Entry)} or name in values:
            raise ValueError(f"KNOWN-RED.txt: not a line of an entry: {line!r}")
        values[name] = value.strip()
    missing = [each.name for each in fields(Entry) if not values.get(each.name, each.name == "kind")]
    if missing:
        raise ValueError(f"KNOWN-RED.txt: no {', '.join(missing)} in the entry of {values.get('test')!r}")
    entry = Entry(**values)
    if "::" not in entry.test:
        raise ValueError(f"KNOWN-RED.txt: not a test's name: {entry.test!r}")
    if entry.kind not in (STRICT, FLAKY):
        raise ValueError(f"KNOWN-RED.txt: kind {entry.kind!r} is neither {STRICT} nor {FLAKY}")
    return entry


def known_red(path: Path) -> dict[str, Entry]:
    """Reads the entries by test; none if there is no file. Raises ValueError if an entry is invalid."""
    text = path.read_text() if path.exists() else ""
    listed: dict[str, Entry] = {}
    for block in filter(None, (part.strip() for part in text.split("\n\n"))):
        entry = read_entry(block)
        if entry.test in listed:
            raise ValueError(f"KNOWN-RED.txt: two entries for {entry.test}")
        listed[entry.test] = entry
    return listed


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = known_red(config.rootpath / "KNOWN-RED.txt")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.stash[RESULTS] = {}


def unknown_tests(config: pytest.Config, items: Iterable[pytest.Item]) -> list[str]:
    """Listed tests that do not exist, judged only by test files that were collected completely."""
    if config.option.keyword or any("::" in argument for argument in config.args):
        return []
    collects_all = not config.args or config.args == config.getini("testpaths")
    collected = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in collected}
    return [
        test
        for test in config.stash[LISTED]
        if test not in collected and (collects_all or test.partition("::")[0] in files)
    ]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    for item in items:
        entry = config.stash[LISTED].get(item.nodeid)
        if entry is not None:
            reason = f"known red: {entry.seen}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=entry.kind == STRICT))
    unknown = unknown_tests(config, items)
    if unknown:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    if item.nodeid in item.config.stash[LISTED] and (report.when == "call" or report.outcome != "passed"):
        failed = call.excinfo is not None
        item.config.stash[RESULTS][item.nodeid] = "failed" if failed else "passed"
    return report


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for test, entry in config.stash[LISTED].items():
        result = config.stash[RESULTS].get(test, "not run")
        terminalreporter.write_line(
            f"known red ({entry.kind}): {test}: {result}; seen: {entry.seen}; "
            f"command: {entry.command}; seed: {entry.seed}; issue {entry.issue}"
        )
