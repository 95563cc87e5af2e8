"""KNOWN-RED.txt: each entry names an existing test and its failure, and its result is printed."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

TESTS = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"


def entry(name: str, **changed: str) -> str:
    """An entry of the list; a field that is changed to the empty string is left out."""
    fields = {"test": f"tests/test_some.py::{name}", "command": "pytest tests", "seed": "7",
              "seen": "a cause", "issue": "1"} | changed  # fmt: skip
    return "".join(f"{key}: {value}\n" for key, value in fields.items() if value) + "\n"


RED = entry("test_red")


def run(folder: Path, listed: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Runs pytest with the project's conftest on two tests, one of which fails."""
    (folder / "tests").mkdir()
    (folder / "tests" / "conftest.py").write_text((Path(__file__).parent / "conftest.py").read_text())
    (folder / "tests" / "test_some.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *arguments]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


def test_a_listed_test_may_fail_and_its_result_is_printed(tmp_path: Path) -> None:
    completed = run(tmp_path, RED)
    assert completed.returncode == 0 and "1 passed, 1 xfailed" in completed.stdout
    line = "known red (strict): tests/test_some.py::test_red: failed; seen: a cause; command: pytest tests"
    assert f"{line}; seed: 7; issue 1" in completed.stdout


@pytest.mark.parametrize(("test", "result"), [("test_red", "failed"), ("test_green", "passed")])
def test_a_flaky_test_may_pass_or_fail_and_its_result_is_printed(
    tmp_path: Path, test: str, result: str
) -> None:
    other = "" if test == "test_red" else RED
    completed = run(tmp_path, other + entry(test, kind="flaky"))
    assert completed.returncode == 0
    assert f"known red (flaky): tests/test_some.py::{test}: {result}" in completed.stdout


def test_an_empty_list_is_valid(tmp_path: Path) -> None:
    completed = run(tmp_path, "", "-k", "green")
    assert completed.returncode == 0 and "known red" not in completed.stdout


def test_a_single_test_can_be_run_while_others_are_listed(tmp_path: Path) -> None:
    completed = run(tmp_path, RED, "tests/test_some.py::test_green")
    assert completed.returncode == 0 and "test_red: not run" in completed.stdout


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        ("", "1 failed"),
        (entry("test_green", kind="flaky"), "1 failed"),
        (RED + entry("test_green"), "XPASS(strict)"),
        (RED + entry("test_none"), "KNOWN-RED.txt names no test: tests/test_some.py::test_none"),
        (RED + RED, "KNOWN-RED.txt: two entries for tests/test_some.py::test_red"),
        (entry("test_red", test="tests/test_some.py"), "KNOWN-RED.txt: not a test's name"),
        (entry("test_red", test=""), "KNOWN-RED.txt: no test in the entry of None"),
        (entry("test_red", command="", seed=""), "KNOWN-RED.txt: no command, seed in the entry of"),
        (entry("test_red", seen=""), "KNOWN-RED.txt: no seen in the entry of"),
        (entry("test_red", issue=""), "KNOWN-RED.txt: no issue in the entry of"),
        (entry("test_red", kind="rare"), "KNOWN-RED.txt: kind 'rare' is neither strict nor flaky"),
        (entry("test_red", owner="us"), "KNOWN-RED.txt: not a line of an entry: 'owner: us'"),
        ("tests/test_some.py::test_red: a cause, issue 1\n", "KNOWN-RED.txt: not a line of an entry"),
    ],
)
def test_other_failures_and_invalid_entries_fail_the_run(tmp_path: Path, listed: str, message: str) -> None:
    completed = run(tmp_path, listed)
    assert completed.returncode != 0 and message in completed.stdout + completed.stderr
    assert (
        "Traceback" not in completed.stdout + completed.stderr
        and "INTERNALERROR" not in completed.stdout + completed.stderr
    )
