"""Metrics, checked against the requests sent over sockets."""

from __future__ import annotations

from caperdrift.interface import ListedServer, ListKind, Outcome, ServerStatus
from cloverkeel.telemetry import Result, Telemetry
from tests.helpers import Driver, sends, trip
from tests.sockets import (
    Exchange,
    Running,
    answers,
    configuration,
    endpoint,
    hosts_list,
    on_loop,
    peer,
    reply,
    request,
    running,
    silent,
    until,
)


def parse_metrics(text: bytes) -> dict[str, int]:
    lines = [line for line in text.decode().splitlines() if not line.startswith("#")]
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def handled(read: dict[str, int], klass: str) -> list[int]:
    names = ("passed", "dropped", "bad_gateway")
    return [read[f'lb_handled{{category="{klass}",outcome="{name}"}}'] for name in names]


def read(gateway: Running) -> dict[str, int]:
    return parse_metrics(gateway.gateway.render_metrics())


@on_loop
async def test_each_request_is_counted_once_by_class_and_result() -> None:
    async with peer() as host, running(configuration(host)) as gateway:
        assert handled(read(gateway), "hold") == [0, 0, 0]
        for klass, count in (("search", 3), ("transfer", 2)):
            for _ in range(count):
                assert (await gateway.ask(request(klass))).status == 200
        host.script = answers(reply(500))
        assert (await gateway.ask(request("transfer"))).status == 502
        for bad in (
            request("transfer", x_call_class="nosuch"),
            b"GET /nosuch HTTP/1.1\r\n\r\n",
            b"\0\r\n\r\n",
        ):
            assert (await gateway.ask(bad)).status in (400, 404)  # not counted: they have no class
        metrics = read(gateway)
        assert handled(metrics, "search") == [3, 0, 0]
        assert handled(metrics, "transfer") == [2, 0, 1]
        assert metrics["lb_upstream_tries"] == len(host.seen) == 6
        assert (metrics["lb_in_progress"], metrics["lb_known_hosts"], metrics["lb_skipped_hosts"]) == (
            0,
            1,
            0,
        )


@on_loop
async def test_a_request_without_a_usable_host_is_refused_and_no_attempt_counted() -> None:
    async with running(configuration("127.0.0.1:1")) as gateway:
        assert (await gateway.ask(request("transfer"))).status == 503
        metrics = read(gateway)
        assert handled(metrics, "transfer") == [0, 1, 0]
        assert metrics["lb_upstream_tries"] == 0


@on_loop
async def test_requests_are_in_progress_until_they_end_and_disconnects_are_not_counted() -> None:
    async with peer(silent) as host, running(configuration(host)) as gateway:
        clients = [await gateway.connect() for _ in range(3)]
        for client in clients:
            client.send(request("transfer"))
        await until(lambda: len(host.seen) == 3)
        assert read(gateway)["lb_in_progress"] == 3
        clients[0].close()
        await until(lambda: read(gateway)["lb_in_progress"] == 2)
        host.seen[-1].answer(reply())
        await until(lambda: read(gateway)["lb_in_progress"] == 1)
        metrics = read(gateway)
        assert handled(metrics, "transfer") == [1, 0, 0]
        assert metrics["lb_upstream_tries"] == 3
        for client in clients:
            client.close()


@on_loop
async def test_hosts_are_known_while_listed_and_skipped_while_they_drain_or_are_open() -> None:
    def error(exchange: Exchange) -> None:
        exchange.answer(reply(500))

    async with peer(error) as bad, peer() as good:
        config = configuration(bad, good)
        drains = endpoint("s-2", good.address, status="DRAINING")
        config["known"] = hosts_list(7, *config["known"]["endpoints"], drains)
        async with running(config) as gateway:
            assert read(gateway)["lb_known_hosts"] == 3
            assert read(gateway)["lb_skipped_hosts"] == 1
            while read(gateway)["lb_skipped_hosts"] == 1:
                for klass in ("search", "transfer", "hold"):
                    await gateway.ask(request(klass))
            assert read(gateway)["lb_skipped_hosts"] == 2


def test_skipped_servers_are_those_not_chosen_and_counting_them_changes_nothing() -> None:
    driver = Driver(servers=3)
    balancer = driver.balancer
    assert balancer.count_skipped(driver.now_us) == 0
    tripped = balancer.servers[0].breaker
    trip(tripped, driver.now_us)
    assert balancer.count_skipped(driver.now_us) == 1
    for _ in range(30):
        name, actions = driver.arrive()
        assert sends(actions)[0].server != 0
        driver.end(name, sends(actions)[0].server)
    state = tripped.state
    driver.now_us = tripped.open_until_us
    assert balancer.count_skipped(driver.now_us) == 0 and tripped.state is state
    driver.list_servers(ListedServer(1, ServerStatus.DRAINING), kind=ListKind.DELTA)
    assert balancer.count_skipped(driver.now_us) == 1


def test_a_server_closed_to_one_class_only_is_not_skipped() -> None:
    driver = Driver(servers=1)
    for _ in range(2):
        name, actions = driver.arrive(klass=2, client_timeout_us=1_000_000)
        driver.end(name, sends(actions)[0].server, Outcome.ERROR)
    assert not sends(driver.arrive(klass=2, client_timeout_us=1_000_000)[1])
    assert driver.balancer.count_skipped(driver.now_us) == 0


def test_labels_are_escaped() -> None:
    telemetry = Telemetry()
    name = b'a"b\\c\nd'
    telemetry.add_class(name)
    telemetry.count(name, Result.PASSED)
    lines = telemetry.render({}).decode().splitlines()
    assert 'lb_handled{category="a\\"b\\\\c\\nd",outcome="passed"} 1' in lines
