"""Membership, calls and feeds on loopback sockets, with several members in one process."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from cloverkeel.fleet import invariants
from cloverkeel.fleet.cluster import parse_cluster
from cloverkeel.fleet.membership import serving
from cloverkeel.fleet.membership.bind import open_sockets
from cloverkeel.fleet.membership.calls import CallFailed, Calls
from cloverkeel.fleet.membership.checked import CheckedMember
from cloverkeel.fleet.membership.codec import Codec, parse_address
from cloverkeel.fleet.membership.feeds import MAX_UNSENT_BYTES, Feed
from cloverkeel.fleet.membership.frames import MAX_FRAME_BYTES, FrameCodec
from cloverkeel.fleet.membership.messages import Ping
from cloverkeel.fleet.membership.service import Membership
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from tests.sockets import on_loop, until


async def member(
    name: str, *seeds: str, bind: str = "127.0.0.1:0", take_over: bool = False, **extra: Any
) -> Membership:
    settings = parse_cluster({"name": "blue", "bind": bind, "seeds": seeds} | extra, name)
    membership = Membership(settings, name, "a", 1, take_over, random.Random(name))
    await membership.start()
    return membership


@asynccontextmanager
async def three_members(**extra: Any) -> AsyncIterator[list[Membership]]:
    first = await member("m0", **extra)
    members = [first, await member("m1", first.address, **extra), await member("m2", first.address, **extra)]
    try:
        await until(lambda: all(len(m.live()) == 3 for m in members))
        yield members
    finally:
        for membership in members:
            membership.close()


def statuses(membership: Membership) -> dict[str, str]:
    return {row["name"]: row["status"] for row in membership.table()}


@on_loop
async def test_three_members_distinguish_a_leave_from_a_death_and_report_both_to_listeners() -> None:
    async with three_members() as (first, second, third):
        changes: list[tuple[str, str]] = []
        first.on_change(lambda update, before: changes.append((update.name, update.status.value)))
        assert all(m.joined.is_set() and m.state == "member" for m in (first, second, third))
        assert [r.zone for r in first.live()] == ["a"] * 3 and first.descriptors() == 3
        await second.leave()
        second.close()
        await until(lambda: statuses(first)["m1"] == statuses(third)["m1"] == "left")
        third.close()
        await until(lambda: statuses(first)["m2"] == "dead")
        assert changes == [("m1", "left"), ("m2", "suspect"), ("m2", "dead")]
        counts = first.counters()
        assert (counts["leaves"], counts["suspicions"], counts["deaths"]) == (1, 1, 1)
        assert counts["probes"] > 0 and [r.name for r in first.live()] == ["m0"]


@on_loop
async def test_garbage_of_every_size_is_counted_and_the_members_stay_alive() -> None:
    async with three_members() as (first, second, third):
        host, port = parse_address(first.address)
        head, rng = Codec("blue").header, random.Random(1)
        stranger = MemberUpdate("s", "127.0.0.1:9", 1, Status.ALIVE)
        valid = Codec("blue").encode(Ping(1, stranger, "m0"))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            for size in range(1, 1_600, 3):
                noise.sendto(rng.randbytes(size), (host, port))
                noise.sendto(head + rng.randbytes(size), (host, port))
                noise.sendto(valid[: 1 + size % (len(valid) - 1)], (host, port))
                await asyncio.sleep(0)  # lets it read, so that the socket's buffer does not overflow
            for _ in range(40):
                noise.sendto(Codec("green").encode(Ping(1, stranger, "m0")), (host, port))
        sent = 3 * len(range(1, 1_600, 3)) + 40

        def dropped(counters: dict[str, int]) -> int:
            return sum(number for name, number in counters.items() if name.startswith("datagrams_dropped_"))

        await until(lambda: dropped(first.counters()) >= sent)
        counts = first.counters()
        assert dropped(counts) == sent and counts["datagrams_dropped_cluster"] >= 40
        assert counts["datagrams_dropped_failed"] == 0 and "s" not in first.view()
        before = counts["datagrams_in"]
        await until(lambda: first.counters()["datagrams_in"] > before + 10)
        assert [statuses(m) for m in (first, second, third)] == [
            dict.fromkeys(("m0", "m1", "m2"), "alive")
        ] * 3


@on_loop
async def test_a_join_under_a_taken_name_is_refused_until_its_holder_has_gone() -> None:
    async with three_members(push_pull_s=0.3) as (first, second, _):
        claimant = await member("m1", first.address, push_pull_s=0.3)
        await claimant.joined.wait()
        assert (claimant.state, [r.address for r in claimant.live()]) == ("name_taken", [claimant.address])
        assert first.view()["m1"].address == second.address and second.state == "member"
        second.close()
        await until(lambda: claimant.state == "member" and first.view()["m1"].address == claimant.address)
        claimant.close()


@on_loop
async def test_a_restarted_process_regains_its_name_before_the_death_of_the_killed_one_is_known() -> None:
    slow: dict[str, Any] = {"probe_interval_s": 5.0, "probe_timeout_s": 2.0, "push_pull_s": 20.0}
    async with three_members(**slow) as (first, second, third):
        second.close()  # without a leave
        again = await member("m1", first.address, **slow)
        await again.joined.wait()
        assert again.state == "member" and len(again.live()) == 3
        await until(lambda: all(m.view()["m1"].address == again.address for m in (first, third)))
        assert first.counters()["deaths"] == 0
        again.close()


@on_loop
async def test_a_seed_remains_a_seed_through_an_upgrade_and_is_never_declared_dead() -> None:
    old = await member("m0")
    seed = old.address  # configured as its address from now on
    other = await member("m1", seed)
    await until(lambda: len(old.live()) == len(other.live()) == 2)
    new = await member("m0", bind=seed, take_over=True, join_wait_s=0.2)
    await until(lambda: other.view()["m0"].address == new.address and len(new.live()) == 2)
    await until(lambda: old.state == "superseded")
    await old.leave()
    old.close()
    late = await member("m2", seed)  # contacts the address of the old process
    await until(lambda: len(late.live()) == len(other.live()) == len(new.live()) == 3)
    assert other.counters()["deaths"] == other.counters()["leaves"] == 0 and new.address != seed
    for membership in (other, new, late):
        membership.close()


@on_loop
async def test_a_view_too_large_for_datagrams_is_exchanged_by_a_call() -> None:
    first = await member("m0")
    assert first.member is not None
    for n in range(1_000):
        update = MemberUpdate(f"gateway-{n:04}", f"127.0.0.9:{n + 1}", 1, Status.ALIVE, "zone-a")
        first.member.roster.apply_update(update, asyncio.get_running_loop().time(), "test")
    second = await member("m1", first.address)
    await until(lambda: len(second.view()) == len(first.view()) == 1_002)
    assert second.counters()["views_swapped"] == second.counters()["calls_out"] == 1
    first.close()
    second.close()


def test_both_sockets_have_the_same_port_or_none_is_opened() -> None:
    udp, tcp = open_sockets("127.0.0.1", 0)
    host, port = udp.getsockname()
    assert tcp.getsockname() == (host, port)
    for closed in (None, tcp, udp):  # both ports in use, then only the UDP one, then only the TCP one
        if closed is not None:
            closed.close()
        if closed is udp:
            tcp = socket.create_server((host, port))
        with pytest.raises(OSError) as error:
            open_sockets(host, port)
        assert error.value.errno == errno.EADDRINUSE
        other = open_sockets(host, port, any_port_if_taken=True)
        assert other[0].getsockname() == other[1].getsockname() != (host, port)
        for sock in other:
            sock.close()
    tcp.close()
    for sock in open_sockets(host, port):
        sock.close()


@asynccontextmanager
async def caller_and_callee(**extra: Any) -> AsyncIterator[tuple[Calls, Calls, str]]:
    caller, callee = Calls("blue", "caller", **extra), Calls("blue", "callee", **extra)
    udp, tcp = open_sockets("127.0.0.1", 0)
    udp.close()
    host, port = tcp.getsockname()
    await callee.listen(tcp)
    try:
        yield caller, callee, f"{host}:{port}"
    finally:
        caller.close()
        callee.close()


@on_loop
async def test_a_call_is_answered_or_fails_with_the_reason() -> None:
    async with caller_and_callee(max_frame_bytes=10_000) as (caller, callee, address):

        async def later(peer: str, body: Any) -> Any:
            await asyncio.sleep(0)
            return [peer, body]

        callee.serve("later", later)
        callee.serve("fails", lambda peer, body: 1 // 0)
        callee.serve("never", lambda peer, body: asyncio.get_running_loop().create_future())
        callee.serve("long", lambda peer, body: bytes(20_000))
        assert await caller.call(address, "later", {"a": [1, None]}, 5.0) == ["caller", {"a": [1, None]}]
        for kind, body, timeout_s, reason in (
            ("fails", None, 5.0, "ZeroDivisionError"),
            ("never", None, 0.05, "no answer in 0.05 s"),
            ("long", None, 5.0, "FrameError"),
            ("nosuch", None, 5.0, "no such call: 'nosuch'"),
            ("later", bytes(20_000), 5.0, "oversized"),
            ("later", object(), 5.0, "malformed"),
        ):
            with pytest.raises(CallFailed, match=reason):
                await caller.call(address, kind, body, timeout_s)
        callee.close()
        with pytest.raises(CallFailed, match=address):
            await caller.call(address, "later", None, 5.0)
        with pytest.raises(CallFailed, match="no address"):
            await caller.call("nowhere", "later", None, 5.0)
        assert caller.counts["calls_failed"] == 8
        await until(lambda: not callee.connections)


@on_loop
async def test_an_invalid_request_closes_its_connection_and_is_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(serving, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(serving, "MAX_CONNECTIONS", 3)
    async with caller_and_callee() as (caller, callee, address):
        callee.serve("echo", lambda peer, body: body)
        frame = FrameCodec("blue").encode
        request = frame("echo", ("x", 1))
        for data in (
            os.urandom(3),  # incomplete: ended by the timeout
            b"\xff" * 8,
            b"\0\0\0\4" + b"\xc1" * 4,
            b"GET / HTTP/1.1\r\n\r\n",
            frame("echo", 1),
            frame("echo", ("", 1)),
            frame("echo", ("x" * 129, 1)),
            FrameCodec("green").encode("echo", ("x", 1)),
            request[:-1],
            (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
        ):
            reader, writer = await asyncio.open_connection(*parse_address(address))
            writer.write(data)
            with pytest.raises(ConnectionError):
                assert await reader.read() == b""
                raise ConnectionError  # a close without a reset will do, too
            writer.close()
        reasons = {name: n for name, n in callee.counts.items() if name.startswith("frames_dropped_")}
        assert reasons == {
            "frames_dropped_malformed": 4, "frames_dropped_oversized": 3, "frames_dropped_cluster": 1,
        }  # fmt: skip
        held = [await asyncio.open_connection(*parse_address(address)) for _ in range(4)]
        await until(lambda: callee.counts["connections_refused"] == 1)
        await until(lambda: not callee.connections)  # ended by the timeout
        assert await caller.call(address, "echo", 7, 5.0) == 7
        for _, writer in held:
            writer.close()


class Follower:
    """Records the bodies and the ends of a subscription."""

    def __init__(self) -> None:
        self.bodies: list[Any] = []
        self.ends: list[str] = []


@on_loop
async def test_a_feed_delivers_bodies_in_order_and_each_end_is_reported_once() -> None:
    async with caller_and_callee() as (caller, callee, address):
        feeds: list[Feed] = []
        closed: list[str] = []

        def on_open(feed: Feed, body: Any) -> None:
            feeds.append(feed)
            feed.on_close = lambda: closed.append(feed.peer)
            feed.send(body)

        callee.serve_feed("list", on_open)
        one, two, third_follower = Follower(), Follower(), Follower()
        for follower in (one, two):
            await caller.subscribe(address, "list", 0, follower.bodies.append, follower.ends.append)
        third = await caller.subscribe(
            address, "list", 0, third_follower.bodies.append, third_follower.ends.append
        )
        await until(lambda: len(feeds) == 3)
        for n in range(1, 100):
            feeds[0].send([n, bytes(1_000)])
        await until(lambda: len(one.bodies) == 100)
        assert [body if body == 0 else body[0] for body in one.bodies] == list(range(100))
        third.close()
        await until(lambda: len(closed) == 1)
        feeds[0].close()
        feeds[0].close()
        callee.close()
        feeds[1].send("too late")
        await until(lambda: one.ends and two.ends)
        assert one.ends == ["end: closed"] and len(two.ends) == 1 and third_follower.ends == []
        assert closed == ["caller"] * 3 and two.bodies == [0] and not caller.subscriptions
        with pytest.raises(CallFailed):
            await caller.subscribe(address, "list", 0, one.bodies.append, one.ends.append)
        assert len(one.ends) == 1


@on_loop
async def test_silence_invalid_frames_and_bodies_that_fail_end_a_feed() -> None:
    frames, sent = FrameCodec("blue"), b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(sent)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    caller, loop = Calls("blue", "caller"), asyncio.get_running_loop()
    for data, reason in (
        (b"", "silent for 1 s"),
        (frames.encode("feed", 1) + b"\xff" * 9, "oversized"),
        (FrameCodec("green").encode("feed", 1), "cluster"),
        (frames.encode("feed", "x"), "not understood: TypeError"),
        (frames.encode("error", "no"), "error: no"),
    ):
        sent, began_s = data, loop.time()
        ends: list[str] = []
        await caller.subscribe(f"{host}:{port}", "list", None, lambda body: body + 1, ends.append)
        await until(lambda: ends)  # noqa: B023
        assert len(ends) == 1 and (reason in ends[0] or (reason == "oversized" and "IndexError" in ends[0]))
        assert data or loop.time() - began_s >= 1.0
    assert not caller.subscriptions
    server.close()


@on_loop
async def test_the_feed_of_a_subscriber_that_does_not_read_is_closed() -> None:
    async with caller_and_callee() as (_, callee, address):
        feeds: list[Feed] = []
        closed: list[int] = []
        callee.serve_feed("list", lambda feed, body: feeds.append(feed))
        host, port = parse_address(address)
        with socket.create_connection((host, port)) as stuck:
            stuck.sendall(FrameCodec("blue").encode("list", ("stuck", None)))
            await until(lambda: feeds)
            feeds[0].on_close = lambda: closed.append(1)
            sent = 0
            while not feeds[0].closed and sent < 100 * MAX_UNSENT_BYTES:
                feeds[0].send(bytes(100_000))
                sent += 100_000
                await asyncio.sleep(0)
            assert feeds[0].closed and closed == [1] and not callee.feeds


@on_loop
async def test_invariants_are_checked_only_if_enabled() -> None:
    with pytest.MonkeyPatch.context() as patch:
        for on in (False, True):
            patch.setattr(invariants, "ON", on)
            membership = await member("m0")
            assert isinstance(membership.member, CheckedMember) == on
            membership.close()
