"""Duties: the bootstrap of a quorum, the configuration, the periodic job and the command."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from cloverkeel.commands import run
from cloverkeel.errors import ConfigError
from cloverkeel.fleet.duties.bootstrap import Bootstrap
from cloverkeel.fleet.duties.interface import BackendCall, Duty, Granted
from cloverkeel.fleet.duties.jobs import remove_old_corrupt_files
from cloverkeel.fleet.duties.local import LocalBackend
from cloverkeel.fleet.duties.settings import parse_duties
from faultlab.duties.site import create_state_file


def test_importing_the_raft_library_leaves_the_socket_functions_unchanged() -> None:
    from cloverkeel.fleet.duties import quorum

    assert quorum.JOURNAL and socket.inet_ntop(socket.AF_INET, b"\x7f\0\0\1") == "127.0.0.1"


VOTERS = {"a": "127.0.0.1:7101", "b": "127.0.0.1:7102", "c": "127.0.0.1:7103"}


def bootstraps(*with_journal: str) -> dict[str, Bootstrap]:
    """The bootstrap of each voter; those named have a journal."""
    return {
        name: Bootstrap(name, run_id, frozenset(VOTERS) - {name}, name in with_journal)
        for run_id, name in enumerate(VOTERS, 1)
    }


def query_all(querier: Bootstrap, others: dict[str, Bootstrap]) -> None:
    """Pass the answers of these voters to the one that asks."""
    for name in querier.others & others.keys():
        querier.handle_answer(name, *others[name].answer(querier.name, querier.run_id))


def test_voters_without_journals_bootstrap_once_all_have_reported_none() -> None:
    voters = bootstraps()
    query_all(voters["a"], {"b": voters["b"]})
    assert not voters["a"].may_start  # c may have a log
    query_all(voters["a"], voters)
    assert voters["a"].may_start
    query_all(voters["c"], voters)  # later than the others, in the same bootstrap
    assert voters["c"].may_start and not voters["c"].refusal


def test_a_voter_whose_disk_was_lost_may_not_join() -> None:
    voters = bootstraps("a", "b")
    query_all(voters["c"], voters)
    assert not voters["c"].may_start and "its votes may be lost" in voters["c"].refusal
    assert voters["a"].may_start  # it has a journal of its own
    founded = bootstraps()
    for each in founded.values():
        query_all(each, founded)
    restarted = Bootstrap(
        "c", 99, frozenset({"a", "b"}), False
    )  # c restarts with an empty disk while the others run on
    query_all(restarted, founded)
    assert not restarted.may_start and restarted.refusal
    with pytest.raises(ValueError, match="x is no voter here"):
        founded["a"].answer("x", 1)


NAMED = {"named": [{"name": "chore", "ttl_s": 2}]}


@pytest.mark.parametrize(
    ("raw", "trusted", "expected"),
    [
        (None, None, "no object"),
        ({}, None, "`named`"),
        (NAMED | {"backing": "local"}, None, "`backing`"),
        (NAMED | {"backend": "etcd"}, None, "`backend`"),
        ({"named": [{"name": "Chore"}]}, None, "`named[0].name`"),
        ({"named": [{"name": "chore", "ttl_s": 0.1}]}, None, "`named[0].ttl_s`"),
        ({"named": [{"name": "chore"}, {"name": "chore"}]}, None, "one duty twice"),
        (NAMED | {"voters": VOTERS}, None, "the local backend has none"),
        (NAMED | {"backend": "quorum", "voters": VOTERS}, None, "needs a cluster"),
        (NAMED | {"backend": "quorum", "voters": {"a": "127.0.0.1:7101"}}, False, "3 gateways or more"),
        (
            NAMED | {"backend": "quorum", "voters": VOTERS | {"a": "127.0.0.1:7102"}},
            False,
            "one address twice",
        ),
        (NAMED | {"backend": "quorum", "voters": VOTERS | {"b": "here:1"}}, False, "voters: b"),
        (NAMED | {"backend": "quorum", "voters": VOTERS | {"b": "10.0.0.1:7"}}, False, "trusted_network"),
    ],
)
def test_an_invalid_duties_object_is_a_one_line_error_that_names_the_key(
    raw: object, trusted: bool | None, expected: str
) -> None:
    with pytest.raises(ConfigError) as error:
        parse_duties(raw, "a", trusted)
    line = str(error.value)
    assert line.startswith("duties") and expected in line and "\n" not in line


def test_all_but_the_newest_corrupt_files_are_removed(tmp_path: Path) -> None:
    for moment in (100, 200, 300, 1000):
        for suffix in ("", "-wal"):
            (tmp_path / f"cloverkeel.db.corrupt-{moment}{suffix}").touch()
    (tmp_path / "cloverkeel.db").touch()
    assert remove_old_corrupt_files(str(tmp_path)) == 2 and remove_old_corrupt_files(str(tmp_path)) == 0
    remaining = sorted(path.name for path in tmp_path.iterdir())
    assert len(remaining) == 7 and not any("corrupt-100" in name and "1000" not in name for name in remaining)


def test_the_command_shows_and_releases_the_leases_of_a_state_directory(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    state_dir_arguments = ["--state-dir", str(tmp_path)]
    assert run(["duties", *state_dir_arguments]) == 1
    assert capsys.readouterr().err.count("\n") == 1
    create_state_file(tmp_path)
    duty = Duty("chore", ttl_s=0.0)  # a new file grants nothing for one TTL
    held = Duty("chore", ttl_s=60.0)
    backend = LocalBackend(str(tmp_path), "g1/1f")
    first = backend.call(BackendCall(duty, "acquire", 1))
    assert isinstance(first, Granted)
    assert run(["duties", *state_dir_arguments, "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {
        "duties": [{"duty": "chore", "holder": "", "token": first.token, "left_s": 0.0}]
    }
    backend.call(BackendCall(held, "renew", 2, first.token))
    assert run(["duties", "release", "chore", *state_dir_arguments]) == 0
    released = int(capsys.readouterr().out.split()[-1])
    assert released > first.token
    assert run(["duties", "release", "other", *state_dir_arguments]) == 1
    assert "nobody has ever held a duty 'other'" in capsys.readouterr().err
    with pytest.raises(SystemExit):
        run(["duties", "release"])
    backend.close()
