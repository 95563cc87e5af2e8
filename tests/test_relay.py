"""The lab's relay: its seeded rules, and what it does to real datagrams and streams."""

from __future__ import annotations

import asyncio

import pytest

from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.membership.calls import CallFailed
from cloverkeel.fleet.membership.service import Membership
from faultlab.relay import Relay, RelayMember, Rule
from faultlab.relay.rules import Rules

LIMIT_S = 5.0


def draw_delays(rules: Rules, source: str, target: str, count: int) -> list[tuple[float, ...]]:
    return [rules.copy_delays_s(source, target) for _ in range(count)]


def test_what_happens_to_a_pairs_datagrams_depends_on_the_seed_and_the_pair_alone() -> None:
    rule = Rule(drop=0.3, duplicate=0.2, reorder=0.1, delay_s=(0.01, 0.02))
    alone, among, other = Rules(5), Rules(5), Rules(6)
    for rules in (alone, among, other):
        rules.set_rule(rule)
    draw_delays(among, "b", "a", 17)
    expected = draw_delays(alone, "a", "b", 2_000)
    assert expected == draw_delays(among, "a", "b", 2_000) != draw_delays(other, "a", "b", 2_000)
    lost, doubled = expected.count(()), sum(len(f) == 2 for f in expected)
    assert 500 < lost < 700 and 200 < doubled < 360
    held = [f[0] for f in expected if f and f[0] > 0.03]
    assert 80 < len(held) < 200 and all(0.06 <= s <= 0.07 for s in held)


def test_the_last_rule_that_fits_a_pair_holds_and_cuts_have_a_direction() -> None:
    rules = Rules()
    slow, lossy = Rule(delay_s=(0.1, 0.1)), Rule(drop=1.0)
    rules.set_rule(slow, sources=["a"])
    rules.set_rule(lossy, targets=["c"])
    assert rules.copy_delays_s("a", "b") == (0.1,) and rules.copy_delays_s("b", "a") == (0.0,)
    assert rules.copy_delays_s("a", "c") == () == rules.copy_delays_s("b", "c")
    rules.set_rule(Rule())
    assert rules.copy_delays_s("a", "c") == (0.0,)
    rules.cut(["a", "b"], ["c"], one_way=True)
    assert rules.copy_delays_s("b", "c") == () and rules.copy_delays_s("c", "b") == (0.0,)
    rules.cut(["a"], ["a", "b"])
    assert rules.copy_delays_s("b", "a") == () and not rules.is_cut("a", "a")
    rules.heal()
    assert rules.copy_delays_s("b", "a") == (0.0,) and not rules.cuts


@pytest.mark.parametrize("bad", [{"drop": 1.5}, {"reorder": -0.1}, {"delay_s": (0.2, 0.1)}, {"hold_s": -1.0}])
def test_a_rule_out_of_range_is_refused(bad: dict[str, float]) -> None:
    with pytest.raises(ValueError, match=next(iter(bad))):
        Rule(**bad)  # type: ignore[arg-type]


class Receiver(asyncio.DatagramProtocol):
    """A member's socket; keeps each datagram received and its source address."""

    def __init__(self) -> None:
        self.received: asyncio.Queue[tuple[bytes, tuple[str, int]]] = asyncio.Queue()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.put_nowait((data, addr))


async def socket_at(place: RelayMember) -> tuple[asyncio.DatagramTransport, Receiver]:
    loop = asyncio.get_running_loop()
    transport, receiver = await loop.create_datagram_endpoint(Receiver, local_addr=(place.host, place.port))
    return transport, receiver


def address(place: RelayMember) -> tuple[str, int]:
    return "127.0.0.1", place.relay_port


def test_datagrams_come_from_the_senders_advertised_address_and_obey_the_rules() -> None:
    async def run() -> None:
        relay = Relay(3)
        a, b = await relay.add_member("a"), await relay.add_member("b")
        with pytest.raises(ValueError, match="member a is already behind the relay"):
            await relay.add_member("a")
        (at_a, _), (at_b, receiver) = await socket_at(a), await socket_at(b)
        async with asyncio.timeout(LIMIT_S):
            at_a.sendto(b"clean", address(b))
            assert await receiver.received.get() == (b"clean", address(a))
            relay.cut(["a"], ["b"])
            at_a.sendto(b"lost", address(b))
            while relay.counts["lost"] < 1:
                await asyncio.sleep(0)
            relay.heal()
            relay.set_rule(Rule(duplicate=1.0))
            at_a.sendto(b"twice", address(b))
            assert [(await receiver.received.get())[0] for _ in range(2)] == [b"twice", b"twice"]
            relay.set_rule(Rule(reorder=1.0, hold_s=0.02))
            at_a.sendto(b"first", address(b))
            while relay.sent_by_member["a"] < 4:
                await asyncio.sleep(0)
            relay.set_rule(Rule())
            at_a.sendto(b"second", address(b))
            assert [(await receiver.received.get())[0] for _ in range(2)] == [b"second", b"first"]
            stranger, _ = await asyncio.get_running_loop().create_datagram_endpoint(
                Receiver, local_addr=("127.0.0.1", 0)
            )
            stranger.sendto(b"who", address(b))
            while relay.counts["strangers"] < 1:
                await asyncio.sleep(0)
        assert receiver.received.empty() and relay.counts["passed"] == 5
        for transport in (at_a, at_b, stranger):
            transport.close()
        await relay.close()

    asyncio.run(run())


def test_streams_stand_still_in_a_cut_go_on_after_it_and_break_on_reset() -> None:
    async def run() -> None:
        relay = Relay(4)
        a, b = await relay.add_member("a"), await relay.add_member("b")
        accepted = 0

        async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal accepted
            accepted += 1
            while data := await reader.read(65_536):
                writer.write(data)
            writer.close()

        async def connect(host: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            return await asyncio.open_connection(*address(b), local_addr=(host, 0))

        server = await asyncio.start_server(echo, b.host, b.port)
        async with asyncio.timeout(LIMIT_S):
            reader, writer = await connect(a.host)
            writer.write(b"x" * 300_000)
            assert await reader.readexactly(300_000) == b"x" * 300_000
            relay.cut(["a"], ["b"])
            writer.write(b"held")
            hung, hung_writer = await connect(a.host)
            hung_writer.write(b"new")
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(reader.read(1), 0.05)
            assert accepted == 1
            relay.heal()
            assert await reader.readexactly(4) == b"held" and await hung.readexactly(3) == b"new"
            hung_writer.write_eof()
            assert await hung.read() == b""
            assert relay.reset_streams(["b"], ["a"]) >= 1
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            stranger, stranger_writer = await connect("127.0.0.1")
            assert await stranger.read() == b"" and relay.counts["strangers"] == 1
            server.close()
            reader, writer = await connect(a.host)  # nobody listens any more: reset, not silent
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)
            stranger_writer.close()
        await relay.close()

    asyncio.run(run())


def test_members_tell_the_relays_addresses_so_that_datagrams_and_calls_between_them_pass_it() -> None:
    async def run() -> None:
        relay = Relay(5)
        members: list[Membership] = []
        for number, name in enumerate(("a", "b", "c")):
            place = await relay.add_member(name)
            seeds = (relay.members["a"].advertise,) if number else ()
            settings = ClusterSettings(name="lab", bind=place.bind, advertise=place.advertise, seeds=seeds)
            members.append(Membership(settings, name, "", 1))
            await members[-1].start()
        a, b, _ = members
        for member in members:
            member.calls.serve("who", lambda peer, body: [peer, body])
        async with asyncio.timeout(LIMIT_S):
            while any(len(member.live()) < 3 for member in members):
                await asyncio.sleep(0.01)
            addresses = {name: place.advertise for name, place in relay.members.items()}
            assert {r.name: r.address for r in b.live()} == addresses
            assert set(relay.sent_by_member) == {"a", "b", "c"} and not relay.counts["strangers"]
            assert await b.calls.call(addresses["c"], "who", 7, 1.0) == ["b", 7]
            assert relay.counts["streams"] == 1
            relay.cut(["a"], ["b"], one_way=True)
            with pytest.raises(CallFailed, match="no answer"):
                await a.calls.call(addresses["b"], "who", 7, 0.05)
        for member in members:
            member.close()
        await relay.close()

    asyncio.run(run())
