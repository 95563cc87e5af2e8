"""Processes that contend for duties while the fault lab injects faults (faultlab/duties)."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from faultlab.duties.command import DUTY, apply_fault, stop_majority
from faultlab.duties.resource import Resource
from faultlab.duties.site import DutySite
from tests.sockets import on_loop

TTL_S = 1.0


def assert_no_violations(resource: Resource) -> None:
    assert resource.overlaps == resource.repeated_tokens == 0


@on_loop
async def test_after_each_fault_one_of_ten_contenders_holds_the_duty_under_a_higher_token(
    tmp_path: Path,
) -> None:
    async with DutySite(tmp_path, 10, {DUTY: TTL_S}) as site:
        holder = await site.wait_held(DUTY)
        for kind in ("kill", "end", "stop", "lock", "replace", "restart-all"):
            after = await apply_fault(site, kind, holder, TTL_S)
            assert after is not None and after.token > holder.token, kind
            holder = after
        assert_no_violations(site.resource)


@on_loop
async def test_a_holder_that_ignores_its_expiry_is_rejected_by_its_token(
    tmp_path: Path,
) -> None:
    async with DutySite(tmp_path, 2, {DUTY: TTL_S}, careless=2) as site:
        holder = await site.wait_held(DUTY)
        after = await apply_fault(site, "stop", holder, TTL_S)
        assert after is not None and after.holder != holder.holder
        while not site.resource.rejected[DUTY]:
            site.resource.first_action_seen.clear()
            again = await apply_fault(site, "stop", after, TTL_S)
            assert again is not None
            after = again


@on_loop
async def test_a_duty_removed_from_the_configuration_passes_on_and_others_stay(tmp_path: Path) -> None:
    async with DutySite(tmp_path, 2, {"first": TTL_S, "second": TTL_S}) as site:
        second = await site.wait_held("second")
        site.worker_of(second.holder).send_signal(signal.SIGHUP)
        after = await site.resource.wait_first_action("second", second.token, 10.0)
        assert after is not None and after.holder != second.holder
        await site.wait_held("first")
        assert_no_violations(site.resource)


@on_loop
async def test_a_quorum_grants_again_after_a_kill_and_a_minority_grants_nothing(tmp_path: Path) -> None:
    async with DutySite(tmp_path, 3, {DUTY: TTL_S}, backend="quorum") as site:
        holder = await site.wait_held(DUTY)
        for kind in ("kill", "stop", "end"):
            after = await apply_fault(site, kind, holder, TTL_S)
            assert after is not None and after.token > holder.token, kind
            holder = after
        assert await stop_majority(site, holder, TTL_S) == 0
        assert await site.resource.wait_first_action(DUTY, holder.token, 10.0) is not None
        assert_no_violations(site.resource)


def test_the_resource_finds_an_overlap_a_repeated_token_and_a_stale_one() -> None:
    resource = Resource()
    resource.receive_action("d", 1, "a/1", 10.0)
    resource.receive_action("d", 1, "a/1", 11.0)
    resource.receive_action("d", 2, "b/1", 10.9)  # sent before the last action of the previous holder
    resource.receive_action("d", 1, "a/1", 11.1)
    resource.receive_action("d", 2, "c/1", 12.0)
    assert (resource.overlaps, resource.rejected["d"], resource.repeated_tokens) == (1, 1, 1)


@pytest.mark.parametrize("sent_s", [11.0, 11.5])
def test_one_after_the_other_is_no_overlap(sent_s: float) -> None:
    resource = Resource()
    resource.receive_action("d", 1, "a/1", 11.0)
    resource.receive_action("d", 2, "b/1", sent_s)
    assert resource.overlaps == 0
