"""KNOWN-RED.txt: tests that fail for a real fault that is not mended yet. They run, are printed, may fail.

One line each: `test: cause, issue`, the test named as pytest prints it (`tests/test_x.py::test_y`). One that
passes fails the run: its line has to go.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from _pytest.terminal import TerminalReporter

MOST = 3  # more than these are a state that must not land
LISTED = pytest.StashKey[dict[str, str]]()


def known_red(path: Path) -> dict[str, str]:
    """The listed tests and why each fails. Raises ValueError for a list that may not be."""
    lines = path.read_text().splitlines() if path.exists() else []
    listed: dict[str, str] = {}
    for line in filter(str.strip, lines):
        test, separator, why = line.partition(": ")
        if not separator or "::" not in test or not why.strip():
            raise ValueError(f"KNOWN-RED.txt: not 'test: cause, issue': {line!r}")
        listed[test.strip()] = why.strip()
    if len(listed) > MOST or len(listed) != len(list(filter(str.strip, lines))):
        raise ValueError(f"KNOWN-RED.txt: {MOST} lines at most, each with a test of its own")
    return listed


def pytest_configure(config: pytest.Config) -> None:
    try:
        config.stash[LISTED] = known_red(config.rootpath / "KNOWN-RED.txt")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = config.stash[LISTED]
    for item in items:
        why = listed.get(item.nodeid)
        if why is not None:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {why}", strict=True))
    collected = {item.nodeid for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    whole = not config.args or config.args == config.getini("testpaths")
    unknown = [t for t in listed if t not in collected and (whole or t.partition("::")[0] in files)]
    if unknown and not config.option.keyword:
        raise pytest.UsageError(f"KNOWN-RED.txt names no test: {', '.join(unknown)}")


def pytest_terminal_summary(terminalreporter: TerminalReporter, config: pytest.Config) -> None:
    for test, why in config.stash[LISTED].items():
        terminalreporter.write_line(f"known red: {test}: {why}")
