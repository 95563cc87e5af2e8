"""What activation must keep, whatever happens to its members (docs/activation.md, "Invariants")."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cloverkeel.transforms.activation.ledger_state import VoterId
from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.records import Epoch, Vote

Votes = Callable[[], Iterable[tuple[VoterId, Vote]]]


class ActivationReference:
    """Told of every epoch seen and of what members run; `violations` is empty where all held."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.violations: list[str] = []
        self.epochs: dict[int, Epoch] = {0: Epoch()}
        self.highest_epoch: dict[str, int] = {}  # by member
        self.removed_versions: dict[str, set[str]] = {}  # by name: versions that an epoch took out

    def add_violation(self, what: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(what)

    def check_epoch(self, member: str, epoch: Epoch, votes: Votes) -> None:
        """`votes`: of each member's own word, what its disks hold, once asked for."""
        if epoch.number < self.highest_epoch.get(member, 0):
            self.add_violation(f"{member} falls from epoch {self.highest_epoch[member]} to {epoch.number}")
        self.highest_epoch[member] = epoch.number
        known = self.epochs.get(epoch.number)
        if known is not None:
            if known != epoch:
                self.add_violation(f"two values for epoch {epoch.number}")
            return
        before = self.epochs.get(epoch.number - 1)
        if before is None:
            self.add_violation(f"epoch {epoch.number} without the one before it")
            return
        electorate = before.voter_store_ids()
        backing = {voter for voter, vote in votes() if vote.value == epoch}
        backing = {(m, disk) for m, disk in backing if not electorate or m in electorate}
        named, every = backing & set(electorate.items()), {member for member, _ in backing}
        if 2 * len(named) <= len(electorate) and len(every) < (len(electorate) or self.size):
            self.add_violation(
                f"epoch {epoch.number} on the word of {len(named)} voters and {len(every)} members"
                f" of {len(electorate) or self.size}"
            )
        self._record_epoch(before, epoch)

    def _record_epoch(self, before: Epoch, epoch: Epoch) -> None:
        self.epochs[epoch.number] = epoch
        for name, slot in epoch.slots.items():
            gone = self.removed_versions.setdefault(name, set())
            old = before.slot(name)
            gone |= old.referenced_versions() - slot.referenced_versions()
            if again := gone & slot.referenced_versions():
                self.add_violation(f"epoch {epoch.number}: {name}: {again} is back")
            if len(old.runnable_versions() | slot.runnable_versions()) > 2:
                self.add_violation(f"epoch {epoch.number}: {name}: over two versions at its switch")

    def check_running(self, member: str, brain: Activation, compiled: set[str]) -> None:
        for name, version in brain.active.items():
            if version not in compiled:
                self.add_violation(f"{member} runs {name} {version}, which it has not staged")
            if version not in brain.epoch.slot(name).referenced_versions():
                self.add_violation(f"{member} runs {name} {version}, which its epoch does not name")

    def check_together(self, brains: Iterable[Activation]) -> None:
        """Of members that have long been present side by side."""
        versions: dict[str, set[str]] = {}
        for brain in brains:
            for name, version in brain.active.items():
                versions.setdefault(name, set()).add(version)
        for name, found in versions.items():
            if len(found) > 2:
                self.add_violation(f"{name}: {len(found)} versions at once")

    def check_final(self, brains: list[Activation], bad: set[str]) -> None:
        """All are healed and have had time: one epoch, nothing open, nothing bad."""
        first = brains[0]
        for brain in brains:
            if (
                brain.ledger_state.epoch != first.ledger_state.epoch
                or brain.epoch != brain.ledger_state.epoch
            ):
                self.add_violation(
                    f"{brain.member} ends on epoch {brain.epoch.number}, "
                    f"{first.member} on {first.epoch.number}"
                )
            for name, slot in brain.epoch.slots.items():
                left = {o.id for o in brain.ledger_state.open_orders(name)}
                if slot.candidate or left:
                    self.add_violation(
                        f"{name} does not come to rest: {slot.candidate} {left} {first.wait_reasons}"
                    )
                if slot.active in bad:
                    self.add_violation(f"{name} ends on a version that fails")
                expected = slot.before if brain.member in slot.behind else slot.active
                able = brain.stage_results.get(expected) == ""
                if brain.active.get(name, "") != (expected if able else ""):
                    self.add_violation(
                        f"{brain.member} runs {brain.active.get(name)} of {name}, not {expected}"
                    )
