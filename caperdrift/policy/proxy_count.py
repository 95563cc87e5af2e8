"""Number of proxies that share the servers: from the settings, or as the proxies see each other."""

from caperdrift.interface import Fleet
from caperdrift.policy.proxy import Proxy

# A lower count takes effect after this time: proxies that are cut off from this one still send requests.
LOWER_COUNT_DELAY_US = 10_000_000


def on_fleet(proxy: Proxy, event: Fleet) -> None:
    """Record the number of live proxies.

    On the first event, the number in the settings counts as seen just before it.
    """
    live, seen = sum(event.gateways), proxy.proxy_counts_seen
    if live <= 0:
        seen.clear()
        return
    if not seen:
        seen.append((proxy.now_us, proxy.settings.proxies))
    since_us = proxy.now_us
    while seen and seen[-1][1] <= live:
        since_us = seen.pop()[0]  # the count has not been higher since then
    seen.append((since_us, live))


def proxy_count(proxy: Proxy) -> int:
    """Highest number of proxies seen within the last `LOWER_COUNT_DELAY_US`, at least 1."""
    seen = proxy.proxy_counts_seen
    if not seen:
        return proxy.settings.proxies
    while len(seen) > 1 and proxy.now_us - seen[1][0] >= LOWER_COUNT_DELAY_US:
        seen.popleft()
    return seen[0][1]
