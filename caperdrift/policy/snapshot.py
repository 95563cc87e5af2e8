"""What a proxy has learned, handed on to the process after it."""

from caperdrift.interface import LearnedState, LearnedServer, Log, Restore
from caperdrift.policy.lists import rank_servers
from caperdrift.policy.proxy import Proxy
from caperdrift.policy.servers import MAX_WEIGHT, MIN_WEIGHT


def learned_state(proxy: Proxy) -> LearnedState:
    """What this proxy has learned, for a process after it (see Restore); changes nothing."""
    servers = tuple(
        LearnedServer(
            number, s.entry.started_us, s.weight, s.idle, s.breaker.learned_state(proxy.now_us),
            tuple((k, p.weight, p.breaker.learned_state(proxy.now_us)) for k, p in s.by_class.items()),
        )
        for number, s in proxy.servers.items()
    )  # fmt: skip
    return LearnedState(servers, tuple(proxy.smoothed_us), tuple(proxy.baseline_us))


def on_restore(proxy: Proxy, event: Restore) -> None:
    learned, age_us, classes = event.learned, max(0, event.age_us), proxy.settings.classes
    latencies = zip(classes, learned.smoothed_us, learned.unhindered_us, strict=False)
    for index, (rules, smoothed, unhindered) in enumerate(latencies):
        if 0 < smoothed <= rules.give_up_us and 0 < unhindered <= rules.give_up_us:  # no good answer is later
            proxy.smoothed_us[index], proxy.baseline_us[index] = smoothed, unhindered
    taken = 0
    for was in learned.servers:
        server = proxy.servers.get(was.server)
        if server is None or server.entry.started_us != was.started_us:
            continue
        taken += 1
        server.weight = min(MAX_WEIGHT, max(MIN_WEIGHT, was.weight))
        server.idle = min(1.0, max(0.0, was.idle))
        server.breaker.restore(proxy.now_us - age_us, was.breaker)
        for klass, weight, breaker in was.by_class:
            if 0 <= klass < len(classes):
                part = server.class_state(klass)
                part.weight = min(MAX_WEIGHT, max(MIN_WEIGHT, weight))
                part.breaker.restore(proxy.now_us - age_us, breaker)
    rank_servers(proxy)
    proxy.actions.append(Log(f"restored {taken} of {len(learned.servers)} servers learned before"))
