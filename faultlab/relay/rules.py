"""The relay's rules, pure: what happens to each datagram of a pair, and which pairs are cut.

No clock and no socket. Each ordered pair of members draws from a generator of its own, seeded by the seed and
the two names, so that what happens to the n-th datagram that a rule meets there depends on nothing that other
pairs send.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rule:
    """What a path does to datagrams: shares are probabilities in [0, 1], times are in seconds.

    `delay_s` is drawn evenly from (least, most) for each copy; a `reorder`ed one waits `hold_s` longer, so
    that later ones pass it; a `duplicate`d one arrives twice. Streams keep their order and lose nothing: of a
    rule they take `delay_s` alone. Raises ValueError for a share or a time out of range.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_s: tuple[float, float] = (0.0, 0.0)
    hold_s: float = 0.05

    def __post_init__(self) -> None:
        for name in ("drop", "duplicate", "reorder"):
            if not 0.0 <= getattr(self, name) <= 1.0:
                raise ValueError(f"{name} must be in [0, 1], not {getattr(self, name)}")
        if not 0.0 <= self.delay_s[0] <= self.delay_s[1] or self.hold_s < 0.0:
            raise ValueError(
                f"delay_s must be (least, most) and hold_s at least 0: {self.delay_s}, {self.hold_s}"
            )


PASS_THROUGH = Rule()


class Rules:
    """The rules in force between named members; the last one set that fits an ordered pair holds."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self._entries: list[tuple[frozenset[str] | None, frozenset[str] | None, Rule]] = []
        self._generators: dict[tuple[str, str], random.Random] = {}
        self._rule_cache: dict[tuple[str, str], Rule] = {}

    def set_rule(
        self, rule: Rule, sources: Iterable[str] | None = None, targets: Iterable[str] | None = None
    ) -> None:
        """`rule` from now on for every pair of `sources` and `targets` (None: all)."""
        if sources is None and targets is None:
            self._entries.clear()  # nothing set before can hold any more
        some = [None if names is None else frozenset(names) for names in (sources, targets)]
        self._entries.append((some[0], some[1], rule))
        self._rule_cache.clear()

    def rule_for(self, source: str, target: str) -> Rule:
        """The rule in force from `source` to `target`."""
        found = self._rule_cache.get((source, target))
        if found is None:
            found = PASS_THROUGH
            for sources, targets, rule in reversed(self._entries):
                if (sources is None or source in sources) and (targets is None or target in targets):
                    found = rule
                    break
            self._rule_cache[source, target] = found
        return found

    def cut(self, sources: Iterable[str], targets: Iterable[str], one_way: bool = False) -> None:
        """Nothing passes from `sources` to `targets`, nor back unless `one_way`, until `heal`."""
        others = list(targets)
        for source in sources:
            for target in others:
                if source != target:
                    self.cuts.add((source, target))
                    if not one_way:
                        self.cuts.add((target, source))

    def heal(self) -> None:
        """No pair is cut any more; the rules stay."""
        self.cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        return (source, target) in self.cuts

    def copy_delays_s(self, source: str, target: str) -> tuple[float, ...]:
        """Delays, in seconds, of the arriving copies of the pair's next datagram; empty: it is lost."""
        rule = self.rule_for(source, target)
        if rule is PASS_THROUGH:
            return () if (source, target) in self.cuts else (0.0,)
        draw = self._generator(source, target)
        fate = draw.random(), draw.random(), draw.random(), draw.random(), draw.random()  # five each, always
        if self.is_cut(source, target) or fate[0] < rule.drop:
            return ()
        least, most = rule.delay_s
        held_s = rule.hold_s if fate[2] < rule.reorder else 0.0
        first_s = least + (most - least) * fate[3] + held_s
        if fate[1] < rule.duplicate:
            return first_s, least + (most - least) * fate[4]
        return (first_s,)

    def stream_delay_s(self, source: str, target: str) -> float:
        """The delay of a stream's next piece from `source` to `target`."""
        least, most = self.rule_for(source, target).delay_s
        return least if least == most else self._generator(source, target).uniform(least, most)

    def _generator(self, source: str, target: str) -> random.Random:
        draw = self._generators.get((source, target))
        if draw is None:
            draw = self._generators[source, target] = random.Random(f"{self.seed} {source} {target}")
        return draw
