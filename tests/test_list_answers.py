"""Answers of the list service: their HTTP framing, their order, their entries."""

from __future__ import annotations

import asyncio
import time

import pytest

from cloverkeel.config import parse_address
from cloverkeel.discovery_connection import DiscoveryConnection
from cloverkeel.discovery_timing import CALL_TIMEOUT_S
from tests.sockets import (
    Exchange,
    answers,
    configuration,
    endpoint,
    host_id,
    list_reply,
    on_loop,
    peer,
    running,
    silent,
    until,
)
from tests.test_list_update_delay import BODY, FRESH, FULL_REPLY, reset

CHUNKS = b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in (BODY[:7], BODY[7:])) + b"0\r\n\r\n"
FRAMINGS = {
    "lower case": b"HTTP/1.1 200 OK\r\ncontent-length:%d\r\n\r\n" % len(BODY) + BODY,
    "chunked": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS,
    "ended by close": b"HTTP/1.1 200 OK\r\n\r\n" + BODY,
    "old, ended by close": b"HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" + BODY,
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_list_is_read_in_every_http_framing(framing: str, mode: str) -> None:
    """An answer that ended with the connection was treated as a failed call."""

    async def in_pieces(exchange: Exchange) -> None:
        if registry.seen[1:]:
            return  # a watch: no answer
        for byte in FRAMINGS[framing]:
            exchange.writer.write(bytes([byte]))
            await asyncio.sleep(0)
        if framing.endswith("close"):
            exchange.writer.write_eof()

    async with peer(in_pieces) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = mode
        async with running(config) as run:
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            assert set(run.gateway.pools.hosts) == {host_id(3)}
            assert run.gateway.discovery.failures == run.gateway.balancer.list_calls_failed == 0
            assert sum("from=7" in exchange.message.first for exchange in registry.seen) == 1


@pytest.mark.parametrize("framing", ["ended by close", "old, ended by close"])
@on_loop
async def test_a_reset_does_not_complete_an_answer(framing: str) -> None:
    """A reset may hide the end of an answer that looks complete, so the call has to fail."""

    def script(exchange: Exchange) -> None:
        if len(registry.seen) == 1:
            exchange.answer(FRAMINGS[framing])
            reset(exchange)

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: len(registry.seen) == 2)
        assert set(run.gateway.pools.hosts) == {host_id(0)}
        registry.script = silent


def requested_from(exchange: Exchange) -> str:
    """Return the index from which the call asks for a delta, or "full" for the full list."""
    return exchange.message.first.partition("from=")[2].partition("&")[0] or "full"


@pytest.mark.parametrize(
    ("late_answer", "next_from"),
    [
        (list_reply(9, endpoint("s-1", "127.0.0.1:1"), snapshot=False), "12"),  # from 7, but 12 is held
        (list_reply(9, endpoint("s-1", "127.0.0.1:1")), "12"),
        (list_reply(14, FRESH | {"status": "DELETED"}, snapshot=False), "14"),  # applies to 12 as well
    ],
    ids=["older change", "older list", "newer change"],
)
@on_loop
async def test_a_late_answer_never_restores_an_older_list(late_answer: bytes, next_from: str) -> None:
    """A late answer of the watch replaced a newer full list, fetched meanwhile: deleted servers came back,
    and the watch went on from the older index, so that changes were lost."""

    def script(exchange: Exchange) -> None:
        if requested_from(exchange) == "full":
            exchange.answer(list_reply(12, FRESH))

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: registry.seen)  # the watch, from 7
        run.gateway.discovery.fetch()
        await until(lambda: host_id(3) in run.gateway.pools.hosts)
        registry.seen[0].answer(late_answer)
        await until(lambda: len(registry.seen) == 3)
        assert requested_from(registry.seen[2]) == next_from
        assert host_id(1) not in run.gateway.pools.hosts
        assert (host_id(3) in run.gateway.pools.hosts) == (next_from == "12")


@on_loop
async def test_a_restarted_service_is_asked_for_the_full_list() -> None:
    """The delta was applied to the list from before the restart, and the watch went on from it: whatever
    else had changed was never sent."""

    def script(exchange: Exchange) -> None:
        if requested_from(exchange) == "7":
            draining_entry = endpoint("s-1", "127.0.0.1:1", status="DRAINING")
            exchange.answer(list_reply(3, draining_entry, snapshot=False))
        elif requested_from(exchange) == "full":
            exchange.answer(list_reply(3, FRESH))

    async with (
        peer(script) as registry,
        running(configuration("127.0.0.1:1", "127.0.0.1:2", discovery=registry.address)) as run,
    ):
        await until(lambda: len(registry.seen) == 3)
        assert [requested_from(exchange) for exchange in registry.seen] == ["7", "full", "3"]
        assert set(run.gateway.pools.hosts) == {host_id(3)}


@pytest.mark.parametrize("call", ["watch", "fetch"])
@on_loop
async def test_an_answer_that_arrives_with_its_timeout_is_used(call: str) -> None:
    """With answer and timeout in one poll of the event loop, the call ended and its answer was discarded,
    although the service counted it as delivered; on request, the next call came up to 4 s later."""

    def script(exchange: Exchange) -> None:
        if len(registry.seen) == 1:
            exchange.answer(FULL_REPLY)
            time.sleep(CALL_TIMEOUT_S + 0.05)  # blocks the loop, so that it sees answer and timeout at once

    async with peer(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {"mustAskInUs": 10**12}}
        async with running(config) as run:
            discovery = run.gateway.discovery
            discovery.watch(True) if call == "watch" else discovery.fetch()
            await until(lambda: host_id(3) in run.gateway.pools.hosts)
            assert run.gateway.balancer.list_calls_failed == 0 and discovery.late_reply_task is None
            assert registry.opened == 1


@pytest.mark.parametrize("is_full_list", [True, False])
@pytest.mark.parametrize(
    "invalid_fields",
    [{"weight": 0}, {"address": "nowhere"}, {"address": None, "status": "DELETED"}, {"since_ms": "long ago"}],
)
@on_loop
async def test_a_drain_is_read_from_an_otherwise_unusable_entry(
    invalid_fields: dict[str, object], is_full_list: bool
) -> None:
    """The entry was skipped as unusable, and after a delta the host stayed in use."""
    entry = endpoint("s-0", "127.0.0.1:1", status="DRAINING") | invalid_fields
    async with (
        peer(answers(list_reply(9, entry, FRESH, snapshot=is_full_list))) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await until(lambda: host_id(3) in run.gateway.pools.hosts)
        registry.script = silent
        assert set(run.gateway.pools.hosts) == set(run.gateway.balancer.servers) == {host_id(3)}


@pytest.mark.parametrize("is_read", [False, True])
@on_loop
async def test_an_answer_from_the_old_address_is_ignored_after_a_move(
    monkeypatch: pytest.MonkeyPatch, is_read: bool
) -> None:
    """It is from the old address: its index has no meaning at the new one."""

    def read_then_move(call: DiscoveryConnection, data: bytes) -> None:
        read(call, data)
        if is_read and data == late_answer:
            run.gateway.discovery.change_address(parse_address(new.address, "discovery"))

    read, late_answer = DiscoveryConnection.data_received, list_reply(99, endpoint("s-1", "127.0.0.1:1"))
    monkeypatch.setattr(DiscoveryConnection, "data_received", read_then_move)
    async with (
        peer(silent) as old,
        peer(silent) as new,
        running(configuration("127.0.0.1:1", discovery=old.address)) as run,
    ):
        await until(lambda: old.seen)
        old.seen[0].answer(late_answer)
        if not is_read:
            run.gateway.discovery.change_address(parse_address(new.address, "discovery"))
        await until(lambda: new.seen)
        assert requested_from(new.seen[0]) == "full" and run.gateway.discovery.index is None
        new.seen[0].answer(list_reply(3, FRESH))
        await until(lambda: len(new.seen) == 2)
        assert requested_from(new.seen[1]) == "3" and set(run.gateway.pools.hosts) == {host_id(3)}
