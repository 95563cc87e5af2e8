"""Snapshot of what a proxy has learned, and its restore by a later process."""

from caperdrift.interface import LearnedServer, LearnedState, Log, Restore
from caperdrift.policy.lists import rank_servers
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT


def learned_state(proxy: Proxy) -> LearnedState:
    """What this proxy has learned, for a later process to restore (see Restore); read-only."""
    servers = tuple(
        LearnedServer(
            number, s.entry.started_us, s.weight, s.idle, s.breaker.learned_state(proxy.now_us),
            tuple((k, p.weight, p.breaker.learned_state(proxy.now_us)) for k, p in s.by_class.items()),
        )
        for number, s in proxy.servers.items()
    )  # fmt: skip
    return LearnedState(servers, tuple(proxy.smoothed_us), tuple(proxy.baseline_us))


def on_restore(proxy: Proxy, event: Restore) -> None:
    """Restore learned state, as far as it applies to the present servers and classes."""
    learned, age_us, classes = event.learned, max(0, event.age_us), proxy.settings.classes
    latencies = zip(classes, learned.smoothed_us, learned.unhindered_us, strict=False)
    for index, (klass, smoothed, baseline) in enumerate(latencies):
        if 0 < smoothed <= klass.give_up_us and 0 < baseline <= klass.give_up_us:  # no success takes longer
            proxy.smoothed_us[index], proxy.baseline_us[index] = smoothed, baseline
    restored = 0
    for saved in learned.servers:
        server = proxy.servers.get(saved.server)
        if server is None or server.entry.started_us != saved.started_us:
            continue
        restored += 1
        server.weight = min(MAX_WEIGHT, max(MIN_WEIGHT, saved.weight))
        server.idle = min(1.0, max(0.0, saved.idle))
        server.breaker.restore(proxy.now_us - age_us, saved.breaker)
        for number, weight, breaker in saved.by_class:
            if 0 <= number < len(classes):
                class_state = server.class_state(number)
                class_state.weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
                class_state.breaker.restore(proxy.now_us - age_us, breaker)
    rank_servers(proxy)
    proxy.actions.append(Log(f"restored {restored} of {len(learned.servers)} servers learned before"))
