"""Whether a member is settled: only then may others take over its records.

A member that was unreachable may hold records whose deletion it missed, after their tombstones have been
collected. It is unsettled from its start, and again after it has seen half of its view or less for
`reap_after_s`, until it has joined the complete state of a settled member.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Settling:
    """Tracks whether this member is settled, and which others are not."""

    reap_after_s: float
    settled: bool = False
    others_live_since_s: float | None = None  # since when it is unsettled while others are live
    minority_since_s: float | None = None  # since when half of its view or less is live
    unsettled_peers: set[str] = dataclasses.field(
        default_factory=set
    )  # live members that reported to be unsettled

    def record_peer(self, member: str, settled: bool) -> None:
        """Records what a member reported of itself."""
        if settled:
            self.unsettled_peers.discard(member)
        else:
            self.unsettled_peers.add(member)

    def on_view_changed(self, now_s: float, live: tuple[str, ...], gone: tuple[str, ...]) -> None:
        """Handles a new view; this member becomes unsettled if it has been in a minority for too long."""
        self.unsettled_peers.intersection_update(live)
        if gone and 2 * (len(live) + 1) <= len(live) + len(gone) + 1:
            self.minority_since_s = now_s if self.minority_since_s is None else self.minority_since_s
        elif self.minority_since_s is not None:
            # Members dead for `reap_after_s` leave the view. The factor is a margin: how exactly membership's
            # clock and this one agree is not known.
            if now_s - self.minority_since_s >= 0.9 * self.reap_after_s:
                self.settled, self.others_live_since_s = False, None
            self.minority_since_s = None

    def may_settle_alone(self, now_s: float, live: tuple[str, ...]) -> bool:
        """Whether this member becomes settled now without joining the state of a settled member.

        It does if no live member is settled, or if no join has succeeded for `reap_after_s`.
        """
        if self.settled or not live:
            self.others_live_since_s = None
            return False
        self.others_live_since_s = now_s if self.others_live_since_s is None else self.others_live_since_s
        return self.unsettled_peers.issuperset(live) or now_s - self.others_live_since_s >= self.reap_after_s
