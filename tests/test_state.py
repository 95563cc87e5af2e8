"""The learned state: taken from one balancer, stored in the state file, restored into another."""

import os
import sqlite3
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.helpers import Driver, sends, trip
from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer, ListedServer, Outcome, Restore
from caperdrift.policy.breaker import COOLDOWN_US, State
from cloverkeel.fleet import state
from cloverkeel.fleet.state import StoreCounters, Snapshot, Store, codec


def learned_driver() -> Driver:
    driver = Driver(servers=3)
    trip(driver.balancer.servers[1].breaker, driver.now_us)
    name, actions = driver.arrive()
    driver.now_us += 30_000
    driver.end(name, sends(actions)[0].server, latency_us=30_000)
    return driver


def test_a_new_balancer_restores_the_learned_state_of_an_old_one() -> None:
    old = learned_driver()
    learned = old.balancer.learned_state()
    new = Driver(servers=3)
    new.now_us = old.now_us + 200_000
    new.handle(Restore(learned, age_us=200_000))
    breaker = new.balancer.servers[1].breaker
    assert breaker.state is State.OPEN
    assert breaker.open_until_us == old.balancer.servers[1].breaker.open_until_us == 50_000_000 + COOLDOWN_US
    assert new.balancer.smoothed_us == old.balancer.smoothed_us
    again = new.balancer.learned_state().servers
    assert [(s.weight, s.breaker.ring, s.by_class[:1]) for s in again] == [
        (s.weight, s.breaker.ring, s.by_class[:1]) for s in learned.servers
    ]


def test_restore_skips_servers_that_are_gone_or_restarted() -> None:
    old = learned_driver()
    new = Driver(servers=0)
    new.list_servers(ListedServer(0), ListedServer(1, started_us=5))  # 1 started again; 2 is gone
    actions = new.handle(Restore(old.balancer.learned_state()))
    assert new.balancer.servers[1].breaker.state is State.CLOSED
    assert [a.line for a in actions if hasattr(a, "line")] == ["restored 1 of 3 servers learned before"]


breakers = st.builds(
    LearnedBreaker,
    st.lists(st.booleans(), max_size=30).map(tuple),
    st.sampled_from(["closed", "open", "half-open"]),
    st.integers(-(10**12), 10**12),
    st.integers(-(10**12), 10**12),
)
servers = st.builds(
    LearnedServer, st.integers(0, 4), st.just(0), st.floats(allow_nan=True), st.floats(),
    breakers, st.lists(st.tuples(st.integers(-3, 5), st.floats(), breakers), max_size=3).map(tuple),
)  # fmt: skip


@given(st.lists(servers, max_size=5), st.lists(st.floats(), max_size=4), st.lists(st.floats(), max_size=4))
def test_any_learned_state_leaves_the_balancer_serving(
    learned: list[LearnedServer], smoothed: list[float], baseline: list[float]
) -> None:
    driver = Driver(servers=5)
    driver.handle(Restore(LearnedState(tuple(learned), tuple(smoothed), tuple(baseline))))
    for server in driver.balancer.servers.values():
        assert 0.0 < server.weight <= 1.0 and 0.0 <= server.idle <= 1.0
        assert server.breaker.open_until_us <= driver.now_us + 8_000_000
    assert all(0 < latency < float("inf") for latency in driver.balancer.smoothed_us)
    driver.now_us += 10_000_000
    name, actions = driver.arrive()
    assert sends(actions), "a restored balancer sends once cooldowns are over"
    driver.end(name, sends(actions)[0].server, Outcome.OK)


def test_a_snapshot_is_read_back_and_a_damaged_row_falls_back_to_an_older_one(tmp_path: Path) -> None:
    learned = learned_driver().balancer.learned_state()
    counters = StoreCounters()
    fd = Store.acquire_lock(str(tmp_path))
    assert fd is not None and Store.acquire_lock(str(tmp_path)) is None
    store, found = Store.open(str(tmp_path), fd, counters, 0.0)
    assert found == []
    store.prepare()
    store.write(Snapshot(1.0, learned, {"index": 3}))
    store.write(Snapshot(2.0, learned))
    store.write(Snapshot(3.0, learned))
    store.connection.execute("UPDATE snapshot SET sha256 = 'x' WHERE taken_unix_s = 3.0")
    good, findings = state.verify(store.connection)
    assert [s.taken_unix_s for s in good] == [2.0] and len(findings) == 1
    assert good[0].learned == learned
    store.connection.execute("UPDATE snapshot SET payload = x'00' WHERE taken_unix_s = 2.0")
    with pytest.raises(state.CorruptError, match="no sound snapshot"):
        state.verify(store.connection)
    assert store.boots == 1 and store.increment("boots") == 2
    store.close()


def test_a_file_that_is_not_a_database_is_moved_aside(tmp_path: Path) -> None:
    (tmp_path / state.STATE_FILE).write_bytes(b"not a database at all" * 50)
    counters = StoreCounters()
    state_writer, snapshot = state.recover(str(tmp_path), 5.0, 60.0, False, counters)
    assert state_writer is not None and snapshot is None and counters.corrupt == 1
    assert any(name.startswith(state.STATE_FILE + ".corrupt-") for name in os.listdir(tmp_path))
    state_writer.close(None, 5.0)
    with sqlite3.connect(tmp_path / state.STATE_FILE) as connection:
        assert state.read_counters(connection) == {"boots": 1}


def test_snapshots_that_are_too_old_or_from_the_future_are_unusable() -> None:
    snapshot = Snapshot(100.0, LearnedState((), (), ()))
    assert state.unusable_reason(snapshot, 150.0, 60.0) is None
    assert "over the bound" in str(state.unusable_reason(snapshot, 161.0, 60.0))
    assert "from now" in str(state.unusable_reason(snapshot, 98.0, 60.0))


def test_class_state_is_restored_by_class_name() -> None:
    """Guards against restoring by class id: a reconfigured process numbers classes unlike a new process."""
    breaker = LearnedBreaker((True,), "open", 500_000, COOLDOWN_US)
    learned = LearnedState(
        (LearnedServer(0, 0, 0.5, 1.0, breaker, tuple((k, 0.1 * (k + 1), breaker) for k in range(3))),),
        (11_000.0, 12_000.0, 13_000.0),
        (1_000.0, 2_000.0, 3_000.0),
    )
    old_classes = (b"gone", b"swap", b"view")
    decoded = codec.decode(codec.encode(Snapshot(1.0, learned, {}, old_classes)))
    mapped = decoded.learned_for((b"view", b"new", b"swap"))
    assert mapped.smoothed_us == (13_000.0, 0.0, 12_000.0) and mapped.unhindered_us == (3_000.0, 0.0, 2_000.0)
    assert [(k, round(w, 1)) for k, w, _ in mapped.servers[0].by_class] == [(2, 0.2), (0, 0.3)]
    driver = Driver(servers=3)
    driver.handle(Restore(mapped))
    assert driver.balancer.smoothed_us == [13_000.0, 50_000.0, 12_000.0]
    assert {k: p.breaker.state for k, p in driver.balancer.servers[0].by_class.items()} == {
        0: State.OPEN, 2: State.OPEN,
    }  # fmt: skip
