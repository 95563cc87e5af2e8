"""The relay's rules: what happens to each datagram between two members, and which members are cut off.

The module uses no clock and no socket. Each ordered pair of members has a random generator of its own, seeded
by the seed and the two names: what happens to a pair's n-th datagram does not depend on other pairs' traffic.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Rule:
    """What a path does to datagrams: `drop`, `duplicate` and `reorder` are probabilities in [0, 1].

    `delay_s` is drawn uniformly from (min, max) seconds for each copy. A `reorder`ed datagram waits `hold_s`
    seconds longer, so that later ones overtake it; a `duplicate`d one arrives twice. Streams keep their order
    and lose nothing: only `delay_s` applies to them. Raises ValueError for a value out of range.
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
                f"delay_s must be (min, max) and hold_s at least 0: {self.delay_s}, {self.hold_s}"
            )


PASS_THROUGH = Rule()


class Rules:
    """The rules between named members; for an ordered pair, the last rule set that matches it applies."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.cuts: set[tuple[str, str]] = set()  # (from, to)
        self._entries: list[tuple[frozenset[str] | None, frozenset[str] | None, Rule]] = []
        self._generators: dict[tuple[str, str], random.Random] = {}
        self._rule_cache: dict[tuple[str, str], Rule] = {}

    def set_rule(
        self, rule: Rule, sources: Iterable[str] | None = None, targets: Iterable[str] | None = None
    ) -> None:
        """Apply `rule` from now on to every pair of `sources` and `targets` (None: all)."""
        if sources is None and targets is None:
            self._entries.clear()  # this rule overrides all earlier ones
        groups = [None if names is None else frozenset(names) for names in (sources, targets)]
        self._entries.append((groups[0], groups[1], rule))
        self._rule_cache.clear()

    def rule_for(self, source: str, target: str) -> Rule:
        """The rule that applies from `source` to `target`."""
        match = self._rule_cache.get((source, target))
        if match is None:
            match = PASS_THROUGH
            for sources, targets, rule in reversed(self._entries):
                if (sources is None or source in sources) and (targets is None or target in targets):
                    match = rule
                    break
            self._rule_cache[source, target] = match
        return match

    def cut(self, sources: Iterable[str], targets: Iterable[str], one_way: bool = False) -> None:
        """Block traffic from `sources` to `targets`, and back unless `one_way`, until `heal`."""
        others = list(targets)
        for source in sources:
            for target in others:
                if source != target:
                    self.cuts.add((source, target))
                    if not one_way:
                        self.cuts.add((target, source))

    def heal(self) -> None:
        """Remove all cuts; the rules stay."""
        self.cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Whether traffic from `source` to `target` is blocked."""
        return (source, target) in self.cuts

    def copy_delays_s(self, source: str, target: str) -> tuple[float, ...]:
        """Delays, in seconds, of the copies of the pair's next datagram; empty: it is lost."""
        rule = self.rule_for(source, target)
        if rule is PASS_THROUGH:
            return () if (source, target) in self.cuts else (0.0,)
        rng = self._generator(source, target)
        # Always five draws, so that the sequence does not depend on the rule's values.
        draws = rng.random(), rng.random(), rng.random(), rng.random(), rng.random()
        if self.is_cut(source, target) or draws[0] < rule.drop:
            return ()
        min_s, max_s = rule.delay_s
        reorder_s = rule.hold_s if draws[2] < rule.reorder else 0.0
        first_s = min_s + (max_s - min_s) * draws[3] + reorder_s
        if draws[1] < rule.duplicate:
            return first_s, min_s + (max_s - min_s) * draws[4]
        return (first_s,)

    def stream_delay_s(self, source: str, target: str) -> float:
        """The delay, in seconds, of a stream's next chunk from `source` to `target`."""
        min_s, max_s = self.rule_for(source, target).delay_s
        return min_s if min_s == max_s else self._generator(source, target).uniform(min_s, max_s)

    def _generator(self, source: str, target: str) -> random.Random:
        generator = self._generators.get((source, target))
        if generator is None:
            generator = self._generators[source, target] = random.Random(f"{self.seed} {source} {target}")
        return generator
