"""The active set: breakers, canaries, refusals, loading from the configuration, and calls through a real
gateway."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from caperdrift.policy.breaker import COOLDOWN_US, MINIMUM, TRIALS, State
from cloverkeel.commands import run as command
from cloverkeel.config import parse
from cloverkeel.errors import ConfigError
from cloverkeel.fleet import events, invariants
from cloverkeel.http1 import Header
from cloverkeel.transforms import guard, loader
from cloverkeel.transforms.active_set import ActiveSet, InstalledTransform, Refused
from cloverkeel.transforms.compiler import compile
from cloverkeel.transforms.protocol import Head
from cloverkeel.transforms.source import parse as parse_source
from faultlab.gateway_process import configuration as lab_configuration
from tests.sockets import answers, configuration, on_loop, peer, reply, request, running

HEADERS = [(b"a", b"1"), (b"d", b"2")]


class Clock:
    """A clock that a test advances."""

    now_us = 0

    def __call__(self) -> int:
        return self.now_us


def installed(
    body: str, more: str = "", share: float = 1.0, clock: Clock | None = None, name: str = "t"
) -> InstalledTransform:
    phase = "" if "phase" in more else "phase request"
    source = f"transform {name} owner o {phase} {more} reads a writes a, b {body}"
    return InstalledTransform(compile(parse_source(source.encode())), share, clock or Clock())


def transform_request(
    active: ActiveSet, call_id: str = "i", klass: bytes = b"k", caller: bytes = b"c"
) -> list[Header] | Refused:
    return active.request(klass, caller, b"/k/1", list(HEADERS), call_id)


def test_transforms_apply_only_to_matching_calls_and_in_the_order_of_names() -> None:
    first = installed('set b = "1"', 'applies class k applies caller c applies path "/k/"', name="a")
    second = installed('add b = header("a") + "2"', name="b")
    active = ActiveSet(second, first)
    assert transform_request(active) == [(b"d", b"2"), (b"a", b"1"), (b"b", b"1"), (b"b", b"12")]
    assert (
        transform_request(active, klass=b"other")
        == transform_request(active, caller=b"other")
        == [(b"d", b"2"), (b"a", b"1"), (b"b", b"12")]
    )


def test_a_canary_gets_its_share_and_a_call_always_gets_the_same_version() -> None:
    active = ActiveSet(installed('set b = "old"'), installed('set b = "new"', share=0.3))
    results = [transform_request(active, f"call-{n}") for n in range(2000)]
    assert results == [transform_request(active, f"call-{n}") for n in range(2000)]
    assert 500 < sum((b"b", b"new") in headers for headers in results if isinstance(headers, list)) < 700
    with pytest.raises(ValueError, match="one version"):
        ActiveSet(installed(""), installed(""))


def test_the_breaker_stops_a_failing_version_retries_it_and_notifies() -> None:
    clock = Clock()
    version = installed('when header("a") == "1" { fail "no" } set b = "x"', clock=clock)
    changes: list[tuple[str, State]] = []
    version.on_breaker_change(lambda name, sha256, state: changes.append((name, state)))
    active = ActiveSet(version)
    for _ in range(MINIMUM + 4):
        assert transform_request(active) == HEADERS
    assert changes == [("t", State.OPEN)] and version.counts == {"raised": MINIMUM, "skipped": 4}
    clock.now_us += COOLDOWN_US
    assert active.request(b"", b"", b"", [(b"a", b"2")], "i") == [(b"a", b"2"), (b"b", b"x")]
    for _ in range(TRIALS - 1):
        active.request(b"", b"", b"", [(b"a", b"2")], "i")
    assert changes == [("t", State.OPEN), ("t", State.CLOSED)]
    assert version.status()["breaker"] == "closed" and version.status()["last_failure"].endswith("no")


def test_a_canary_whose_breaker_is_open_leaves_its_calls_to_the_other_version() -> None:
    active = ActiveSet(installed('set b = "old"'), installed('fail "no"', share=0.999999))
    for _ in range(MINIMUM):
        assert transform_request(active) == HEADERS
    assert (b"b", b"old") in transform_request(active)  # type: ignore[operator]


def test_on_error_refuse_refuses_until_the_breaker_opens() -> None:
    active = ActiveSet(installed('fail "no"', "on_error refuse"))
    answers = [transform_request(active) for _ in range(MINIMUM + 1)]
    assert answers == [Refused("t", "FailedError: no")] * MINIMUM + [HEADERS]


@on_loop
async def test_request_and_response_heads_are_changed_and_a_call_keeps_its_set() -> None:
    release = asyncio.Event()

    async def respond_late(exchange: Any) -> None:
        await release.wait()
        exchange.answer(reply(200, b"fine", "A: host", "D: 2"))

    both = ActiveSet(
        installed('set b = header("a", "none") + class', name="q"),
        installed('rewrite a = value + "!"', "phase response", name="s"),
    )
    async with peer(respond_late) as host, running(configuration(host)) as run:
        run.gateway.transforms = both
        response = asyncio.create_task(run.ask(request("transfer", a="1")))
        while not host.seen:
            await asyncio.sleep(0.002)
        run.gateway.transforms = None
        release.set()
        answer = await response
        assert host.seen[0].message.headers["b"] == "1transfer"
        assert (answer.status, answer.headers["a"], answer.headers["d"]) == (200, "host!", "2")
        assert (await run.ask(request("transfer"))).headers["a"] == "host"
        assert "b" not in host.seen[1].message.headers


@on_loop
async def test_a_failed_transform_is_skipped_or_refuses_short_and_long_responses() -> None:
    for size in (4, 200_000):
        async with peer(answers(reply(200, b"x" * size))) as host, running(configuration(host)) as run:
            run.gateway.transforms = ActiveSet(
                installed('fail "no"'), installed('fail "no"', "phase response", name="s")
            )
            assert len((await run.ask(request("transfer"))).body) == size
            run.gateway.transforms = ActiveSet(installed('fail "no"', "phase response on_error refuse"))
            assert (await run.ask(request("transfer"))).status == 502
            run.gateway.transforms = None
            assert (await run.ask(request("transfer"))).status == 200
            run.gateway.transforms = ActiveSet(installed('fail "no"', "on_error refuse"))
            seen = len(host.seen)
            assert (await run.ask(request("transfer"))).status == 502
            assert len(host.seen) == seen and not run.gateway.pending


def test_check_names_each_fault_and_its_exit_code(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    page = (Path(__file__).parent.parent / "docs" / "transforms.md").read_text()
    # The first example of the page.
    example = page.split("   ```\n")[1].replace("\n   ", "\n").removeprefix("   ")
    file = tmp_path / "route-mark.transform"
    file.write_text(example)
    assert command(["transforms", "check", str(file)]) == 0
    assert "valid: route-mark, phase request, 1 cases pass" in capsys.readouterr().out
    file.write_text(example.replace("r-north", "r-south"))
    assert command(["transforms", "check", str(file)]) == 1
    assert f'{file}:16:6: case "a route is marked' in capsys.readouterr().out
    file.write_text(example.replace("remove x-debug", "remove x-other"))
    assert command(["transforms", "check", str(file)]) == 1
    assert f"{file}:14:8: x-other is not in writes" in capsys.readouterr().out
    assert command(["transforms", "check", str(tmp_path / "none")]) == 2


def test_configured_files_and_plugins_are_loaded_or_fail_with_one_reason(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_text('transform t owner o phase request writes b set b = "x"')
    bad.write_text("transform t owner o")
    raw = lab_configuration("n", 1, "127.0.0.1:1", [])
    settings = parse(raw | {"transforms": {"files": [str(good)]}}).transforms
    assert settings is not None and loader.load(settings).request(b"", b"", b"", [], "i") == [(b"b", b"x")]
    assert parse(raw).transforms is None
    wrongs: tuple[object, ...] = ([], {"files": "x"}, {"file": []}, {"plugins": [1]})
    for wrong in wrongs:
        with pytest.raises(ConfigError, match="transforms"):
            parse(raw | {"transforms": wrong})
    for key, name, reason in (
        ("files", str(bad), ":1:11: no phase"), ("files", str(tmp_path / "none"), "No such file"),
        ("plugins", "none", "no entry point none in the group firledge.transforms"),
    ):  # fmt: skip
        named = parse(raw | {"transforms": {key: [name]}}).transforms
        assert named is not None
        with pytest.raises(ConfigError, match=reason):
            loader.load(named)
    # An entry point as an installed distribution registers it.
    module = tmp_path / "shipped_mark.py"
    module.write_text(
        "from cloverkeel.transforms.protocol import Manifest\n"
        "class Mark:\n"
        "    manifest = Manifest('mark', 'o', 'request', writes=frozenset({b'b'}))\n"
        "    sha256 = '0' * 64\n"
        "    def apply(self, head): return [(b'b', b'shipped')]\n"
        "mark, none = Mark(), object()\n"
    )
    dist_info = tmp_path / "shipped-1.dist-info"
    dist_info.mkdir()
    (dist_info / "METADATA").write_text("Metadata-Version: 2.1\nName: shipped\nVersion: 1\n")
    (dist_info / "entry_points.txt").write_text(
        "[firledge.transforms]\nmark = shipped_mark:mark\nnone = shipped_mark:none\n"
    )
    monkeypatch.syspath_prepend(tmp_path)
    assert ActiveSet(InstalledTransform(loader.load_plugin("mark"))).request(b"", b"", b"", [], "i") == [
        (b"b", b"shipped")
    ]
    with pytest.raises(ConfigError, match="none cannot be loaded"):
        loader.load_plugin("none")


def test_a_gateway_without_transforms_does_not_import_them() -> None:
    program = (
        "import sys, cloverkeel.gateway, cloverkeel.front.server\n"
        "from cloverkeel.config import parse\n"
        "from faultlab.gateway_process import configuration\n"
        "parse(configuration('n', 1, '127.0.0.1:1', []))\n"
        "print([m for m in sys.modules if m.startswith(('cloverkeel.transforms', 'lark'))])\n"
    )
    root = Path(__file__).parent.parent
    done = subprocess.run([sys.executable, "-c", program], cwd=root, capture_output=True, text=True)
    assert done.stdout == "[]\n", done.stderr


def test_a_change_outside_writes_is_logged_if_invariants_are_checked(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(invariants, "ON", True)
    monkeypatch.setattr(events.LOGGER, "propagate", True)
    active = ActiveSet(installed('set b = "x"'))
    with caplog.at_level("INFO", logger=events.LOGGER.name):
        transform_request(active)
        assert not caplog.records
        monkeypatch.setattr(guard, "run", lambda transform, head: Head(head.headers[:1]))
        assert transform_request(active) == HEADERS[:1]  # the check only logs; the call goes on
    assert [record.getMessage() for record in caplog.records] == ["invariant.broken"]
