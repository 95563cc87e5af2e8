"""Activation at one gateway: its configuration, the status command, and the engine that sets the active
set."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from caperdrift.policy.breaker import State
from cloverkeel.config import load, parse
from cloverkeel.errors import ConfigError
from cloverkeel.fleet import needs
from cloverkeel.gateway import Gateway
from cloverkeel.transforms.activation.command import status_lines
from cloverkeel.transforms.activation.engine import Engine, compile_checked
from tests.helpers import trip
from tests.sockets import configuration, on_loop

CLUSTER = {"name": "blue", "bind": "127.0.0.1:0"}
SOURCE = b'transform mark owner o phase request writes x-mark set x-mark = "1"'


@pytest.mark.parametrize(
    ("fleet", "expected"),
    [
        (None, "fleet"),
        ({}, "`size`"),
        ({"size": 0}, "`size`"),
        ({"size": True}, "`size`"),
        ({"size": 3, "canary": 1}, "`canary`"),
        ({"size": 3, "canary_share": 0}, "`canary_share`"),
        ({"size": 3, "quarantine_share": 1.0}, "`quarantine_share`"),
        ({"size": 3, "stage_timeout_s": float("nan")}, "`stage_timeout_s`"),
    ],
)
def test_an_invalid_fleet_setting_is_one_line_that_names_the_key(fleet: object, expected: str) -> None:
    with pytest.raises(ConfigError) as error:
        parse(configuration() | {"transforms": {"fleet": fleet}})
    line = str(error.value)
    assert line.startswith("transforms.fleet: ") and expected in line and "\n" not in line


@pytest.mark.parametrize(("extra", "expected"), [({}, "a cluster"), ({"cluster": CLUSTER}, "a state_dir")])
def test_a_fleet_needs_a_cluster_and_a_state_directory(
    tmp_path: Path, extra: dict[str, Any], expected: str
) -> None:
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration() | {"transforms": {"fleet": {"size": 3}}} | extra))
    with pytest.raises(ConfigError, match=f"transforms.fleet: it needs {expected}"):
        load({"LB_CONFIG": str(file)})
    found = load({"LB_CONFIG": str(file), "LB_STATE_DIR": "/x"}) if extra else None
    assert found is None or (found.transforms is not None and found.transforms.fleet is not None)


def test_parts_that_share_the_ledger_have_one_size(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    monkeypatch.setattr(needs, "ledger_sizes", lambda _config: {"transforms.fleet": 3, "routes": 5})
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration() | {"state_dir": "/x", "cluster": CLUSTER}))
    with pytest.raises(ConfigError, match="^transforms.fleet.size is 3 and routes.size is 5: they have to"):
        load({"LB_CONFIG": str(file)})


def test_a_version_is_compiled_and_checked_before_it_is_staged() -> None:
    case = b' case "c" { out "x-mark: %d" }'
    assert compile_checked(SOURCE + case % 1).manifest.name == "mark"
    for source, expected in ((SOURCE + case % 2, 'case "c"'), (b"transform", "1:"), (b"\xff", "not UTF-8")):
        with pytest.raises(ValueError, match=expected):
            compile_checked(source)


@on_loop
async def test_the_engine_activates_versions_and_reports_breakers() -> None:
    gateway = Gateway(parse(configuration()))
    reported: list[tuple[str, bool]] = []
    engine = Engine(gateway, lambda id, is_open: reported.append((id, is_open)))
    assert engine.install("1", "mark", compile_checked(SOURCE)) == ""
    assert engine.install("2", "other", compile_checked(SOURCE)) == "the name in its source is mark"
    engine.activate({"mark": "1"})
    assert gateway.transforms is not None
    (installed,) = gateway.transforms.installed
    trip(installed.breaker, 0)
    installed._notify_listeners(State.OPEN)
    installed._notify_listeners(State.CLOSED)
    assert reported == [("1", True), ("1", False)]
    engine.activate({})
    assert gateway.transforms is None  # so that the request path has no overhead
    engine.retain(set())
    assert not engine.staged
    gateway.close()


def test_the_status_text_has_versions_and_wait_reasons() -> None:
    version = {"id": "v1", "sha256": "ab" * 32, "verb": "publish"}
    entry = {
        "name": "mark", "state": "canary", "active": None, "candidate": version, "before": None,
        "canaries": ["m1"], "behind": ["m2"], "open_orders": [], "staged_at": 2, "of": 3, "why": "canary",
        "waits": "canaries run it: m1",
    }  # fmt: skip
    members = [
        {"name": "m1", "live": True, "epoch": 4, "failed": {}, "open": ["v1"]},
        {"name": "m2", "live": True, "epoch": 3, "failed": {"v1": "no memory"}, "open": []},
        {"name": "m3", "live": False, "epoch": 1, "failed": {}, "open": []},
    ]
    status = {
        "member": "m1", "epoch": 4, "may_decide": True, "first": "m1", "waits": {"": "4 members are known"},
        "transforms": [entry], "members": members,
    }  # fmt: skip
    assert status_lines(status) == [
        "epoch 4 as m1 sees it; 1 of 2 live members run it; m1 proposes",
        "  blocked: 4 members are known",
        "mark: canary; candidate v1 (abababababab); canaries m1; left behind m2; staged at 2 of 3",
        "  canary",
        "  canaries run it: m1",
        "m1: breaker open on v1",
        "m2 cannot stage v1: no memory",
    ]
