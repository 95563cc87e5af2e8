"""What activation must keep, whatever happens to its members (docs/activation.md, "Invariants")."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cloverkeel.transforms.activation.ledger_state import VoterId
from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.records import Epoch, Vote

Votes = Callable[[], Iterable[tuple[VoterId, Vote]]]


class ActivationTruth:
    """Told of every epoch seen and of what members run; `violations` is empty where all held."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.violations: list[str] = []
        self.epochs: dict[int, Epoch] = {0: Epoch()}
        self.highest: dict[str, int] = {}  # by member
        self.gone: dict[str, set[str]] = {}  # by name: versions that an epoch took out

    def violated(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(what)

    def epoch_seen(self, member: str, epoch: Epoch, votes: Votes) -> None:
        """`votes`: of each member's own word, what its disks hold, once asked for."""
        if epoch.number < self.highest.get(member, 0):
            self.violated(f"{member} falls from epoch {self.highest[member]} to {epoch.number}")
        self.highest[member] = epoch.number
        known = self.epochs.get(epoch.number)
        if known is not None:
            if known != epoch:
                self.violated(f"two values for epoch {epoch.number}")
            return
        before = self.epochs.get(epoch.number - 1)
        if before is None:
            self.violated(f"epoch {epoch.number} without the one before it")
            return
        electorate = before.voter_store_ids()
        backing = {voter for voter, vote in votes() if vote.value == epoch}
        backing = {(m, disk) for m, disk in backing if not electorate or m in electorate}
        named, every = backing & set(electorate.items()), {member for member, _ in backing}
        if 2 * len(named) <= len(electorate) and len(every) < (len(electorate) or self.size):
            self.violated(
                f"epoch {epoch.number} on the word of {len(named)} voters and {len(every)} members"
                f" of {len(electorate) or self.size}"
            )
        self._decided(before, epoch)

    def _decided(self, before: Epoch, epoch: Epoch) -> None:
        self.epochs[epoch.number] = epoch
        for name, slot in epoch.slots.items():
            gone = self.gone.setdefault(name, set())
            old = before.slot(name)
            gone |= old.referenced_versions() - slot.referenced_versions()
            if again := gone & slot.referenced_versions():
                self.violated(f"epoch {epoch.number}: {name}: {again} is back")
            if len(old.runnable_versions() | slot.runnable_versions()) > 2:
                self.violated(f"epoch {epoch.number}: {name}: over two versions at its switch")

    def running(self, member: str, brain: Activation, compiled: set[str]) -> None:
        for name, version in brain.active.items():
            if version not in compiled:
                self.violated(f"{member} runs {name} {version}, which it has not staged")
            if version not in brain.epoch.slot(name).referenced_versions():
                self.violated(f"{member} runs {name} {version}, which its epoch does not name")

    def together(self, brains: Iterable[Activation]) -> None:
        """Of members that have long been present side by side."""
        versions: dict[str, set[str]] = {}
        for brain in brains:
            for name, version in brain.active.items():
                versions.setdefault(name, set()).add(version)
        for name, found in versions.items():
            if len(found) > 2:
                self.violated(f"{name}: {len(found)} versions at once")

    def at_the_end(self, brains: list[Activation], bad: set[str]) -> None:
        """All are healed and have had time: one epoch, nothing open, nothing bad."""
        first = brains[0]
        for brain in brains:
            if (
                brain.ledger_state.epoch != first.ledger_state.epoch
                or brain.epoch != brain.ledger_state.epoch
            ):
                self.violated(
                    f"{brain.member} ends on epoch {brain.epoch.number}, "
                    f"{first.member} on {first.epoch.number}"
                )
            for name, slot in brain.epoch.slots.items():
                left = {o.id for o in brain.ledger_state.open_orders(name)}
                if slot.candidate or left:
                    self.violated(
                        f"{name} does not come to rest: {slot.candidate} {left} {first.wait_reasons}"
                    )
                if slot.active in bad:
                    self.violated(f"{name} ends on a version that fails")
                expected = slot.before if brain.member in slot.behind else slot.active
                able = brain.stage_results.get(expected) == ""
                if brain.active.get(name, "") != (expected if able else ""):
                    self.violated(f"{brain.member} runs {brain.active.get(name)} of {name}, not {expected}")
