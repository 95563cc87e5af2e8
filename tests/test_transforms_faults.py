"""The lab's hard cases with real gateways, played small; each is judged by the invariants."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from pathlib import Path

import pytest

from faultlab.__main__ import main
from faultlab.transforms.faults import FAULTS, OWN, play
from faultlab.transforms.faults.field import SETTINGS, Field
from faultlab.transforms.faults.hosts import Heads
from faultlab.transforms.published import Published

CASE_S = 60.0
SHARED = ("staged", "lossy", "together", "flipped", "disk", "full", "refused", "upgrade", "mixed")


@pytest.fixture(scope="module")
def runner() -> Iterator[asyncio.Runner]:
    with asyncio.Runner() as made:
        yield made


@pytest.fixture(scope="module")
def field(runner: asyncio.Runner, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Field]:
    heads = Heads()
    made = Published(5, tmp_path_factory.mktemp("fleet"), SETTINGS, heads.protocol)
    fleet = runner.run(made.__aenter__())
    yield runner.run(Field(fleet, heads, random.Random(1)).begin())
    runner.run(fleet.close())


def judge(field: Field, name: str) -> None:
    assert (field.broken, field.lost) == ([], [])
    assert field.injected, f"{name} has injected nothing"


@pytest.mark.parametrize("name", SHARED)
def test_a_hard_case_breaks_nothing(runner: asyncio.Runner, field: Field, name: str) -> None:
    assert not field.broken, "a case before this one has left the fleet so"
    runner.run(asyncio.wait_for(play(name, field), CASE_S))
    judge(field, name)


@pytest.mark.parametrize("name", sorted(OWN))
def test_a_case_with_a_fleet_of_its_own(runner: asyncio.Runner, tmp_path: Path, name: str) -> None:
    async def played() -> Field:
        heads = Heads()
        settings, cluster = OWN[name]
        made = Published(5, tmp_path, SETTINGS | settings, heads.protocol, cluster)
        async with made as fleet:
            field = await Field(fleet, heads, random.Random(1)).begin()
            await asyncio.wait_for(play(name, field), CASE_S)
            return field

    judge(runner.run(played()), name)


def test_the_judge_finds_what_is_broken(field: Field) -> None:
    def status(epoch: int, active: str, last: int) -> dict[str, object]:
        version = {"id": active, "sha256": f"sha-{active}"}
        entry = {"active": version, "candidate": None, "before": None, "last": [last, active], "why": ""}
        return {"epoch": epoch, "versions": {"mark": entry}}

    judged = Field(field.fleet, field.heads, random.Random(1), shas={"v1": "sha-v1", "v2": "other"})
    judged.see("m0", status(2, "v1", 1))
    assert not judged.broken
    judged.see("m1", status(2, "v2", 2))
    assert "other bytes" in judged.broken[0] and "epoch 2 is" in judged.broken[1]
    judged.see("m0", status(1, "v1", 1))
    assert judged.broken[2] == "m0 fell from epoch 2 to 1"


def test_an_unknown_case_is_one_line(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(["transforms", "--faults", "none"])
    said = " ".join(capsys.readouterr().err.split())
    assert ended.value.code == 2 and f"none of {', '.join(FAULTS)}" in said
