"""The activation records in this member's ledger, decoded and indexed. Equal ledgers give equal states."""

from __future__ import annotations

from cloverkeel.transforms.activation.records import (
    EPOCH,
    ORDER,
    PROPOSAL,
    REPORT,
    VOTE,
    ActivationRecord,
    Epoch,
    Order,
    Proposal,
    Report,
    Vote,
    decode,
    key_owner,
    key_store_id,
    merge_votes,
)

VoterId = tuple[str, int]  # a member, and the id of the store that keeps its votes


class LedgerState:
    """The orders, proposals, votes, reports and the highest epoch in the ledger, updated key by key."""

    def __init__(self) -> None:
        self.orders: dict[str, Order] = {}  # by id
        self.proposals: dict[str, tuple[Proposal, ...]] = {}  # by member
        self.votes: dict[str, dict[int, Vote]] = {}  # by member, then by store id
        self.reports: dict[str, Report] = {}
        self.epoch = Epoch()
        # By kind and owner, then by key.
        self.by_owner: dict[tuple[str, str], dict[str, list[ActivationRecord]]] = {}

    def update_key(self, kind: str, key: str, payloads: tuple[bytes, ...]) -> list[str]:
        """Replaces a key's records by these payloads; none: the key was deleted. Returns the reasons why
        payloads are invalid, one line each."""
        bodies: list[ActivationRecord] = []
        faults = []
        for payload in payloads:
            try:
                bodies.append(decode(kind, key, payload))
            except ValueError as error:
                faults.append(str(error))
        if kind == ORDER:
            self.orders.pop(key.rpartition("/")[2], None)
            self.orders.update({order.id: order for order in bodies if isinstance(order, Order)})
        else:
            self._update_owned(kind, key, bodies)
        return faults

    def _update_owned(self, kind: str, key: str, bodies: list[ActivationRecord]) -> None:
        owner = key_owner(key)
        keys = self.by_owner.setdefault((kind, owner), {})
        keys[key] = bodies
        if not bodies:
            del keys[key]
        every = [body for siblings in keys.values() for body in siblings]
        if kind == PROPOSAL:
            self.proposals[owner] = tuple(body for body in every if isinstance(body, Proposal))
        elif kind == VOTE and (by_store := _votes_by_store(keys)):
            self.votes[owner] = by_store
        elif kind == REPORT and (reports := [body for body in every if isinstance(body, Report)]):
            self.reports[owner] = max(reports, key=lambda report: report.number)
        elif kind == EPOCH:
            epochs = [body for body in every if isinstance(body, Epoch)]
            self.epoch = max([self.epoch, *epochs], key=lambda epoch: epoch.number)

    def votes_on(self, number: int) -> dict[VoterId, Vote]:
        """The votes on an epoch number, by voter."""
        return {
            (member, store_id): vote
            for member, votes in self.votes.items()
            for store_id, vote in votes.items()
            if vote.epoch == number
        }

    def obsolete_keys(self, kind: str, owner: str, current: str) -> list[str]:
        """The owner's other keys of this kind, which `current` supersedes; none while the ledger does not
        show `current`."""
        keys = self.by_owner.get((kind, owner), {})
        return [key for key in keys if key != current] if current in keys else []

    def open_orders(self, name: str) -> list[Order]:
        """The orders of a name that are not carried out or refused yet, in sequence."""
        last = self.epoch.slot(name).last
        found = (order for order in self.orders.values() if order.name == name and order.sequence > last)
        return sorted(found, key=lambda order: order.sequence)

    def names(self) -> list[str]:
        """The names of all transforms that have a slot or an order."""
        return sorted({*self.epoch.slots, *(order.name for order in self.orders.values())})

    def next_number(self, name: str) -> int:
        """The number for a new order: higher than all that this member has seen for the name."""
        numbers = [order.number for order in self.orders.values() if order.name == name]
        return max([self.epoch.slot(name).last[0], *numbers]) + 1

    def versions_to_stage(self) -> dict[str, Order]:
        """The publishing orders, by id, of the versions that this member has to stage: those that slots
        name, and for each name the last open order if it publishes a version."""
        ids: set[str] = set()
        for slot in self.epoch.slots.values():
            ids |= slot.referenced_versions()
        found = {id: self.orders[id] for id in sorted(ids) if id in self.orders}
        for name in self.names():
            orders = self.open_orders(name)
            if orders and orders[-1].verb == "publish":
                found[orders[-1].id] = orders[-1]
        return found


def _votes_by_store(keys: dict[str, list[ActivationRecord]]) -> dict[int, Vote]:
    """One member's votes, merged for each store id."""
    found: dict[int, list[Vote]] = {}
    for key, bodies in keys.items():
        found.setdefault(key_store_id(key), []).extend(body for body in bodies if isinstance(body, Vote))
    return {store_id: merge_votes(votes) for store_id, votes in found.items() if votes}


def active_versions(epoch: Epoch, member: str, staged: frozenset[str]) -> dict[str, str]:
    """Which versions a member runs in an epoch, as name to version, given the versions that it has staged."""
    found = {}
    for name, slot in sorted(epoch.slots.items()):
        if member in slot.behind:
            choices = ["" if slot.candidate else slot.before]
        elif member in slot.canaries:
            choices = [slot.candidate, slot.active]
        else:
            choices = [slot.active]
        version = next((version for version in choices if version in staged), "")
        if version:
            found[name] = version
    return found
