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
    beside_s: float | None = None  # since when, unsettled, others have been alive beside it
    cut_off_s: float | None = None  # since when it has seen half of its view or less
    unsettled: set[str] = dataclasses.field(default_factory=set)  # others that said so of themselves

    def heard(self, member: str, settled: bool) -> None:
        if settled:
            self.unsettled.discard(member)
        else:
            self.unsettled.add(member)

    def view(self, now_s: float, live: tuple[str, ...], gone: tuple[str, ...]) -> None:
        self.unsettled.intersection_update(live)
        if gone and 2 * (len(live) + 1) <= len(live) + len(gone) + 1:
            self.cut_off_s = now_s if self.cut_off_s is None else self.cut_off_s
        elif self.cut_off_s is not None:
            # Those dead for `reap_after_s` leave the view; how exactly its clock and ours agree is not known.
            if now_s - self.cut_off_s >= 0.9 * self.reap_after_s:
                self.settled, self.beside_s = False, None
            self.cut_off_s = None

    def due(self, now_s: float, live: tuple[str, ...]) -> bool:
        """Whether it settles now without a settled member's help: none of the others is settled, or none has
        helped for `reap_after_s`."""
        if self.settled or not live:
            self.beside_s = None
            return False
        self.beside_s = now_s if self.beside_s is None else self.beside_s
        return self.unsettled.issuperset(live) or now_s - self.beside_s >= self.reap_after_s
