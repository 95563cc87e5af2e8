"""The list of tests that may fail holds three at most, each a test that there is and that does fail."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "tests/test_some.py::test_red: a cause, issue 1\n"


def run(folder: Path, listed: str) -> subprocess.CompletedProcess[str]:
    """A run of the project's own conftest over two tests, one of which fails."""
    (folder / "tests").mkdir()
    (folder / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_a_listed_test_runs_and_is_printed_and_may_fail(tmp_path: Path) -> None:
    ran = run(tmp_path, RED)
    assert ran.returncode == 0 and "1 passed, 1 xfailed" in ran.stdout
    assert "known red: tests/test_some.py::test_red: a cause, issue 1" in ran.stdout


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        ("", "1 failed"),
        (RED + "tests/test_some.py::test_green: passes, issue 1\n", "XPASS(strict)"),
        (RED + "tests/test_some.py::test_none: gone, issue 1\n", "names no test"),
        (RED + "".join(f"tests/test_some.py::test_{n}: one of many\n" for n in range(3)), "3 lines at most"),
        (RED + RED, "each with a test of its own"),
        ("tests/test_some.py::test_red\n", "not 'test: cause, issue'"),
    ],
)
def test_nothing_else_is_let_pass(tmp_path: Path, listed: str, why: str) -> None:
    ran = run(tmp_path, listed)
    assert ran.returncode != 0 and why in ran.stdout + ran.stderr
