"""Checks that cold servers are sent no more than this proxy's part of their fall budget."""

from __future__ import annotations

from caperdrift.checks.model import RELATIVE_TOLERANCE, ColdBucket, ReferenceModel
from caperdrift.policy.cold import LARGE_REQUESTS_PER_WINDOW, PLANNED_SHARE, cold_cost_us
from caperdrift.policy.proxy_count import proxy_count
from caperdrift.policy.servers import Server


class ColdChecks(ReferenceModel):
    """Checks of the work sent to cold servers."""

    def half_part_us(self, now_us: int, server: Server) -> float | None:
        """Half of this proxy's part of the work that a cold server may be sent per window; None if warm."""
        settings, balancer = self.balancer.settings, self.balancer
        age_us = now_us - server.entry.started_us
        if not server.entry.started_us or age_us >= settings.warm_after_us or not settings.warm_after_us:
            return None
        warmed = max(0, age_us) / settings.warm_after_us
        capacity = settings.start_capacity + (1.0 - settings.start_capacity) * warmed
        if capacity >= 1.0:
            return None
        reached = min(1.0, balancer.reach / max(1, len(balancer.ranked)))
        users = max(1.0, proxy_count(balancer) * reached)
        return PLANNED_SHARE * settings.fall_multiple * settings.fall_us / users * capacity / 2

    def update_cold_buckets(self, now_us: int) -> None:
        """Track the maximum part of each cold server: the balancer may have paid off work at that rate."""
        for server, bucket in tuple(self.cold_buckets.items()):
            half_us = self.half_part_us(now_us, server)
            if half_us is None:
                del self.cold_buckets[server]
            else:
                bucket.max_half_part_us = max(bucket.max_half_part_us, half_us)

    def check_cold(self, now_us: int, server: Server, name: str) -> None:
        """Check and record the work of a request that is to be sent to a server; nothing if it is warm."""
        half_us = self.half_part_us(now_us, server)
        if half_us is None:
            return
        bucket = self.cold_buckets.setdefault(server, ColdBucket(0.0, now_us, half_us))
        max_half_us = max(bucket.max_half_part_us, half_us)
        paid_us = max_half_us * (now_us - bucket.updated_us) / self.balancer.settings.fall_us
        cost_us = cold_cost_us(self.balancer, self.balancer.requests[name])
        level_us = max(0.0, bucket.level_us - paid_us) + cost_us
        bound_us = max(max_half_us, cost_us) * (1.0 + RELATIVE_TOLERANCE)
        number = server.entry.server
        self.check_size(half_us, number, name)
        self.require(
            level_us <= bound_us, f"cold server {number} sent {level_us:.0f} us of work, over {bound_us:.0f}"
        )
        self.cold_buckets[server] = ColdBucket(level_us, now_us, half_us)

    def check_size(self, half_us: float, number: int, name: str) -> None:
        """Check that a request does not take too much of the window that all proxies share."""
        balancer, request = self.balancer, self.balancer.requests[name]
        reached = min(1.0, balancer.reach / max(1, len(balancer.ranked)))
        window_us = 2 * half_us * max(1.0, proxy_count(balancer) * reached) / PLANNED_SHARE
        largest_us = window_us / min(proxy_count(balancer), LARGE_REQUESTS_PER_WINDOW)
        usual_us = min(balancer.mean_work_us[request.klass], window_us / 2)
        bound_us = max(largest_us, usual_us) * (1.0 + RELATIVE_TOLERANCE)
        self.require(
            request.work_us <= bound_us, f"cold server {number} sent one request of {request.work_us} us"
        )
