"""Reference model of activation: what must hold under all faults (docs/activation.md, "Invariants")."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cloverkeel.transforms.activation.core import Activation
from cloverkeel.transforms.activation.ledger_state import VoterId
from cloverkeel.transforms.activation.records import Epoch, Vote

Votes = Callable[[], Iterable[tuple[VoterId, Vote]]]


class ActivationReference:
    """Is told of each epoch and of what members run; `violations` is empty while all invariants hold."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.violations: list[str] = []
        self.epochs: dict[int, Epoch] = {0: Epoch()}
        self.highest_epoch: dict[str, int] = {}  # by member: number of its newest epoch
        self.removed_versions: dict[str, set[str]] = {}  # by transform name: versions that an epoch removed

    def add_violation(self, violation: str) -> None:
        """Note a violation; only the first 20 are kept."""
        if len(self.violations) < 20:
            self.violations.append(violation)

    def check_epoch(self, member: str, epoch: Epoch, votes: Votes) -> None:
        """A member reached this epoch. `votes` returns the votes of each member that its disks hold.

        A new epoch must follow a known one, and have the votes of a majority of that one's voters, or of all
        of its members on any disk.
        """
        if epoch.number < self.highest_epoch.get(member, 0):
            self.add_violation(
                f"{member} went back from epoch {self.highest_epoch[member]} to {epoch.number}"
            )
        self.highest_epoch[member] = epoch.number
        known = self.epochs.get(epoch.number)
        if known is not None:
            if known != epoch:
                self.add_violation(f"two values for epoch {epoch.number}")
            return
        before = self.epochs.get(epoch.number - 1)
        if before is None:
            self.add_violation(f"epoch {epoch.number} without its predecessor")
            return
        electorate = before.voter_store_ids()
        supporters = {voter for voter, vote in votes() if vote.value == epoch}
        supporters = {(m, disk) for m, disk in supporters if not electorate or m in electorate}
        from_voters, members = supporters & set(electorate.items()), {member for member, _ in supporters}
        if 2 * len(from_voters) <= len(electorate) and len(members) < (len(electorate) or self.size):
            self.add_violation(
                f"epoch {epoch.number} with the votes of {len(from_voters)} voters and {len(members)} members"
                f" of {len(electorate) or self.size}"
            )
        self._record_epoch(before, epoch)

    def _record_epoch(self, before: Epoch, epoch: Epoch) -> None:
        """Keep a new epoch, and check its versions against the epoch before."""
        self.epochs[epoch.number] = epoch
        for name, slot in epoch.slots.items():
            removed = self.removed_versions.setdefault(name, set())
            old = before.slot(name)
            removed |= old.referenced_versions() - slot.referenced_versions()
            if reused := removed & slot.referenced_versions():
                self.add_violation(f"epoch {epoch.number}: {name}: {reused} was removed and is used again")
            if len(old.runnable_versions() | slot.runnable_versions()) > 2:
                self.add_violation(f"epoch {epoch.number}: {name}: more than two versions at its switch")

    def check_running(self, member: str, core: Activation, compiled: set[str]) -> None:
        """Check that a member runs only staged versions of its epoch."""
        for name, version in core.active.items():
            if version not in compiled:
                self.add_violation(f"{member} runs {name} {version}, which it has not staged")
            if version not in core.epoch.slot(name).referenced_versions():
                self.add_violation(f"{member} runs {name} {version}, which is not in its epoch")

    def check_together(self, cores: Iterable[Activation]) -> None:
        """Check that members that have long been connected run at most two versions of a transform."""
        versions: dict[str, set[str]] = {}
        for core in cores:
            for name, version in core.active.items():
                versions.setdefault(name, set()).add(version)
        for name, found in versions.items():
            if len(found) > 2:
                self.add_violation(f"{name}: {len(found)} versions at once")

    def check_final(self, cores: list[Activation], bad_versions: set[str]) -> None:
        """Check the end state: one epoch, no unfinished order, and no bad version active."""
        first = cores[0]
        for core in cores:
            if core.ledger_state.epoch != first.ledger_state.epoch or core.epoch != core.ledger_state.epoch:
                self.add_violation(
                    f"{core.member} ends on epoch {core.epoch.number}, "
                    f"{first.member} on {first.epoch.number}"
                )
            for name, slot in core.epoch.slots.items():
                unfinished = {o.id for o in core.ledger_state.open_orders(name)}
                if slot.candidate or unfinished:
                    self.add_violation(
                        f"{name} has unfinished work: {slot.candidate} {unfinished} {first.wait_reasons}"
                    )
                if slot.active in bad_versions:
                    self.add_violation(f"{name} ends with a bad version active")
                expected = slot.before if core.member in slot.behind else slot.active
                is_staged = core.stage_results.get(expected) == ""
                if core.active.get(name, "") != (expected if is_staged else ""):
                    self.add_violation(
                        f"{core.member} runs {core.active.get(name)} of {name}, not {expected}"
                    )
