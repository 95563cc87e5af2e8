"""Cold servers: what they are sent, against this proxy's part of their fall budget."""

from __future__ import annotations

from caperdrift.checks.model import RELATIVE_TOLERANCE, ReferenceModel, ColdBucket
from caperdrift.policy.cold import PLANNED_SHARE, LARGE_REQUESTS_PER_WINDOW, cold_cost_us
from caperdrift.policy.servers import Server
from caperdrift.policy.proxy_count import proxy_count


class ColdChecks(ReferenceModel):
    def half_part_us(self, now_us: int, server: Server) -> float | None:
        """Half of this proxy's part of the work that a cold server may be sent in a window; None if warm."""
        settings, balancer = self.balancer.settings, self.balancer
        age_us = now_us - server.entry.started_us
        if not server.entry.started_us or age_us >= settings.warm_after_us or not settings.warm_after_us:
            return None
        warmed = max(0, age_us) / settings.warm_after_us
        share = settings.start_capacity + (1.0 - settings.start_capacity) * warmed
        if share >= 1.0:
            return None
        reached = min(1.0, balancer.reach / max(1, len(balancer.ranked)))
        users = max(1.0, proxy_count(balancer) * reached)
        return PLANNED_SHARE * settings.fall_multiple * settings.fall_us / users * share / 2

    def update_cold_buckets(self, now_us: int) -> None:
        """Keep the most that each cold server's part was: the balancer may have paid off by that."""
        for server, spent in tuple(self.cold_buckets.items()):
            half_us = self.half_part_us(now_us, server)
            if half_us is None:
                del self.cold_buckets[server]
            else:
                spent.max_half_part_us = max(spent.max_half_part_us, half_us)

    def check_cold(self, now_us: int, server: Server, name: str) -> None:
        half_us = self.half_part_us(now_us, server)
        if half_us is None:
            return
        spent = self.cold_buckets.setdefault(server, ColdBucket(0.0, now_us, half_us))
        most_us = max(spent.max_half_part_us, half_us)
        paid_us = most_us * (now_us - spent.updated_us) / self.balancer.settings.fall_us
        cost_us = cold_cost_us(self.balancer, self.balancer.requests[name])
        level_us = max(0.0, spent.level_us - paid_us) + cost_us
        bound_us = max(most_us, cost_us) * (1.0 + RELATIVE_TOLERANCE)
        number = server.entry.server
        self.check_size(half_us, number, name)
        self.require(level_us <= bound_us, f"cold server {number} sent {level_us:.0f} us, of {bound_us:.0f}")
        self.cold_buckets[server] = ColdBucket(level_us, now_us, half_us)

    def check_size(self, half_us: float, number: int, name: str) -> None:
        """No request takes more of the window of all proxies than a few of its size may fill together."""
        balancer, request = self.balancer, self.balancer.requests[name]
        reached = min(1.0, balancer.reach / max(1, len(balancer.ranked)))
        window_us = 2 * half_us * max(1.0, proxy_count(balancer) * reached) / PLANNED_SHARE
        largest_us = window_us / min(proxy_count(balancer), LARGE_REQUESTS_PER_WINDOW)
        usual_us = min(balancer.mean_work_us[request.klass], window_us / 2)
        bound_us = max(largest_us, usual_us) * (1.0 + RELATIVE_TOLERANCE)
        self.require(request.work_us <= bound_us, f"cold server {number} sent one of {request.work_us} us")
