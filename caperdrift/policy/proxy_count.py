"""How many proxies share the servers: the settings' number, or what the proxies see of each other."""

from caperdrift.interface import Fleet
from caperdrift.policy.proxy import Proxy

LOWER_COUNT_DELAY_US = (
    10_000_000  # a number that falls counts after this: proxies cut off from this one still send
)


def on_fleet(proxy: Proxy, event: Fleet) -> None:
    """Go by what is seen; the settings' number at the first word counts as seen just before it."""
    live, seen = sum(event.gateways), proxy.proxy_counts_seen
    if live <= 0:
        seen.clear()
        return
    if not seen:
        seen.append((proxy.now_us, proxy.settings.proxies))
    since_us = proxy.now_us
    while seen and seen[-1][1] <= live:
        since_us = seen.pop()[0]  # since then no more than this many
    seen.append((since_us, live))


def proxy_count(proxy: Proxy) -> int:
    """The most proxies that were seen within the last `BELIEVED_US`, at least 1."""
    seen = proxy.proxy_counts_seen
    if not seen:
        return proxy.settings.proxies
    while len(seen) > 1 and proxy.now_us - seen[1][0] >= LOWER_COUNT_DELAY_US:
        seen.popleft()
    return seen[0][1]
