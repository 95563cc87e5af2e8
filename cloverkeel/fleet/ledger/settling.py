"""Whether this member's records may be taken over by others: is it settled, or a newcomer?

A member that was away may hold records whose deletion it never heard of. It is unsettled from its start, and
again after it saw half of its view or less for `reap_after_s`, until a settled member's whole state is here.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass
class Settling:
    reap_after_s: float
    settled: bool = False
    others_live_since_s: float | None = None  # since when, unsettled, others have been alive beside it
    minority_since_s: float | None = None  # since when it has seen half of its view or less
    unsettled_peers: set[str] = dataclasses.field(default_factory=set)  # others that said so of themselves

    def record_peer(self, member: str, settled: bool) -> None:
        if settled:
            self.unsettled_peers.discard(member)
        else:
            self.unsettled_peers.add(member)

    def on_view_changed(self, now_s: float, live: tuple[str, ...], gone: tuple[str, ...]) -> None:
        self.unsettled_peers.intersection_update(live)
        if gone and 2 * (len(live) + 1) <= len(live) + len(gone) + 1:
            self.minority_since_s = now_s if self.minority_since_s is None else self.minority_since_s
        elif self.minority_since_s is not None:
            # Those dead for `reap_after_s` leave the view; how exactly its clock and ours agree is not known.
            if now_s - self.minority_since_s >= 0.9 * self.reap_after_s:
                self.settled, self.others_live_since_s = False, None
            self.minority_since_s = None

    def may_settle_alone(self, now_s: float, live: tuple[str, ...]) -> bool:
        """Whether it settles now without a settled member's help: none of the others is settled, or none has
        helped for `reap_after_s`."""
        if self.settled or not live:
            self.others_live_since_s = None
            return False
        self.others_live_since_s = now_s if self.others_live_since_s is None else self.others_live_since_s
        return self.unsettled_peers.issuperset(live) or now_s - self.others_live_since_s >= self.reap_after_s
