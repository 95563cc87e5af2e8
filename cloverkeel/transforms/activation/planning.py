"""Plans the next epoch: a function of the ledger's records, the live members and the ages of conditions.

`SlotStep` changes one slot by one step. An epoch that introduces a version waits until every live member runs
the current epoch; one that only removes a version never waits (docs/activation.md, "From an order to all
members").
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable

import msgspec

from cloverkeel.transforms.activation.interface import Settings
from cloverkeel.transforms.activation.ledger_state import LedgerState
from cloverkeel.transforms.activation.paxos import is_quorum
from cloverkeel.transforms.activation.records import MAX_SLOTS, Epoch, Order, Slot

MAX_REASON_CHARS = 400  # of a slot's reason; the record's field allows 500

ConditionAge = Callable[[str], float]  # for how long the condition of this name has held, in seconds


@dataclasses.dataclass
class Plan:
    """The slots of the next epoch, and by name the reasons why a change has to wait."""

    slots: dict[str, Slot]
    wait_reasons: dict[str, str]


def share_count(count: int, fraction: float) -> int:
    """A fraction of a count, rounded, at least one."""
    return max(1, round(count * fraction))


def choose_canaries(version: str, members: Iterable[str], fraction: float) -> tuple[str, ...]:
    """The members that run a version first, chosen by rendezvous hashing (Thaler, Ravishankar, 1998) of
    version and member."""
    ranked = sorted(members, key=lambda m: hashlib.sha256(f"{version}\0{m}".encode()).digest())
    return tuple(sorted(ranked[: share_count(len(ranked), fraction)]))


def plan_slots(
    ledger_state: LedgerState, live: tuple[str, ...], settings: Settings, condition_age_s: ConditionAge
) -> Plan:
    """Changes each slot by at most one step."""
    found = Plan(dict(ledger_state.epoch.slots), {})
    for name in ledger_state.names():
        slot, orders = ledger_state.epoch.slot(name), ledger_state.open_orders(name)
        if name not in ledger_state.epoch.slots and len(found.slots) >= MAX_SLOTS:
            found.wait_reasons[name] = f"the limit of {MAX_SLOTS} names is reached"
            continue
        outcome = SlotStep(ledger_state, live, settings, condition_age_s, slot, orders).next_slot()
        if isinstance(outcome, Slot):
            found.slots[name] = outcome
        elif outcome:
            found.wait_reasons[name] = outcome
    return found


def choose_voters(epoch: Epoch, live: tuple[str, ...], size: int) -> tuple[str, ...]:
    """The live members, filled up to `size` with absent members that are voters now."""
    absent = sorted(set(epoch.voters) - set(live))
    return tuple(sorted({*live, *absent[: max(0, size - len(live))]}))


@dataclasses.dataclass
class SlotStep:
    """Computes the next change of one name's slot."""

    ledger_state: LedgerState
    live: tuple[str, ...]
    settings: Settings
    condition_age_s: ConditionAge
    slot: Slot
    orders: list[Order]  # open, in sequence

    def next_slot(self) -> Slot | str:
        """Returns the slot after the next change, or why the change has to wait ("": nothing to change)."""
        slot, latest = self.slot, self.orders[-1] if self.orders else None
        if latest is not None and latest.verb == "rollback":
            return self._roll_back(latest)
        if (open_reason := self._open_breakers_reason(slot.active)) is not None:
            return self._remove_active(f"quarantined: {slot.active} {open_reason}", slot.last)
        if slot.candidate:
            return self._advance_canary(latest)
        if not slot.active and slot.before:
            return self._restore_before()
        if still := tuple(m for m in slot.behind if not self._has_staged(m, slot.active)):
            if still != slot.behind:
                return msgspec.structs.replace(slot, behind=still)
        elif slot.behind:
            return msgspec.structs.replace(slot, behind=())
        return self._start_canary(latest) if latest is not None else ""

    # Removing versions.

    def _roll_back(self, order: Order) -> Slot | str:
        if self.slot.candidate:
            why = f"rolled back: {self.slot.candidate}, a candidate"
            return msgspec.structs.replace(self.slot, candidate="", canaries=(), last=order.sequence, why=why)
        why = f"rolled back: {self.slot.active or 'nothing was active'}"
        return self._remove_active(why, order.sequence)

    def _remove_active(self, why: str, last: tuple[int, str]) -> Slot:
        """Removes the active version, and makes the previous one active if that need not wait."""
        removed = msgspec.structs.replace(
            self.slot, active="", behind=(), last=last, why=why[:MAX_REASON_CHARS]
        )
        if (
            removed.before and not removed.candidate and not self._not_on_epoch()
        ):  # remove and restore in one epoch
            removed = msgspec.structs.replace(removed, active=removed.before, before="")
        return removed

    def _restore_before(self) -> Slot | str:
        """Makes the previous version active, once all live members run the current epoch."""
        if missing := self._not_on_epoch():
            return f"{missing[0]} does not run epoch {self.ledger_state.epoch.number} yet"
        return msgspec.structs.replace(self.slot, active=self.slot.before, before="")

    def _advance_canary(self, latest: Order | None) -> Slot | str:
        """Removes a candidate that is quarantined or superseded by a later order; otherwise chooses
        canaries, waits for them, or makes the candidate active."""
        slot, settings = self.slot, self.settings
        without = msgspec.structs.replace(slot, candidate="", canaries=())
        if (open_reason := self._open_breakers_reason(slot.candidate)) is not None:
            why = f"quarantined: {slot.candidate} {open_reason}"
            return msgspec.structs.replace(without, why=why[:MAX_REASON_CHARS])
        if latest is not None:
            return msgspec.structs.replace(without, why=f"overtaken: {slot.candidate} by {latest.id}")
        running = [m for m in slot.canaries if m in self.live and self._has_staged(m, slot.candidate)]
        if not running:
            able = [m for m in self.live if self._has_staged(m, slot.candidate)]
            if not able:
                return "no live member has the candidate staged"
            chosen = choose_canaries(slot.candidate, able, settings.canary_share)
            return msgspec.structs.replace(slot, canaries=chosen)
        if any(slot.candidate in self.ledger_state.reports[m].open_breakers for m in running):
            return "a canary's breaker is open"
        if late := self._not_on_epoch(running):
            return f"canary {late[0]} does not run epoch {self.ledger_state.epoch.number} yet"
        if self.condition_age_s(f"canary {slot.candidate} {','.join(running)}") < settings.canary_s:
            return f"canaries run it: {', '.join(running)}"
        behind = tuple(m for m in self.live if not self._has_staged(m, slot.candidate))
        return Slot(
            active=slot.candidate,
            before=slot.active or slot.before,
            behind=behind,
            last=slot.last,
            why="active",
        )

    # Introducing versions.

    def _start_canary(self, order: Order) -> Slot | str:
        """Makes a published version the candidate, once enough live members have staged it; refuses it if too
        many cannot."""
        slot, settings, live = self.slot, self.settings, self.live
        results = {
            m: r.stage_results[order.id]
            for m in live
            if (r := self.ledger_state.reports.get(m)) and order.id in r.stage_results
        }
        able = [m for m, reason in results.items() if not reason]
        waited_s = self.condition_age_s(f"staging {order.id}")
        if len(able) < len(live):
            unable = {m: reason for m, reason in results.items() if reason}
            first = next((f"{m}: {reason}" for m, reason in unable.items()), "")
            if len(unable) == len(live) or (
                2 * len(unable) >= len(live) and waited_s >= settings.stage_timeout_s
            ):
                why = f"refused: {order.id} by {len(unable)} of {len(live)}: {first}"
                return msgspec.structs.replace(slot, last=order.sequence, why=why[:MAX_REASON_CHARS])
            if waited_s < settings.stage_timeout_s or 2 * len(able) <= len(live):
                silent = next((m for m in live if m not in results), live[0])
                return f"staged at {len(able)} of {len(live)}: {first or silent + ' has not reported'}"
        if slot.behind:
            return msgspec.structs.replace(slot, behind=())  # they run no version of it from now on
        if missing := self._not_on_epoch():
            return f"{missing[0]} does not run epoch {self.ledger_state.epoch.number} yet"
        chosen = choose_canaries(order.id, able, settings.canary_share)
        return msgspec.structs.replace(
            slot, candidate=order.id, canaries=chosen, last=order.sequence, why="canary"
        )

    # Members' reports.

    def _has_staged(self, member: str, version: str) -> bool:
        report = self.ledger_state.reports.get(member)
        return report is not None and report.stage_results.get(version) == ""

    def _not_on_epoch(self, members: Iterable[str] | None = None) -> list[str]:
        """The live members, or those given, that have not reported to run the current epoch."""
        reports = self.ledger_state.reports
        return [
            m for m in (self.live if members is None else members)
            if (r := reports.get(m)) is None or r.epoch != self.ledger_state.epoch.number
        ]  # fmt: skip

    def _open_breakers_reason(self, version: str) -> str | None:
        """If a version's breaker is open at too many of the members that run it, a text that says at how
        many; otherwise None."""
        if not version:
            return None
        slot, reports = self.slot, self.ledger_state.reports
        running = [
            m for m in self.live
            if self._has_staged(m, version) and m not in slot.behind
            and (version != slot.candidate or m in slot.canaries)
        ]  # fmt: skip
        tripped = [m for m in running if version in reports[m].open_breakers]
        if tripped and len(tripped) > self.settings.quarantine_share * len(running):
            return f"breakers open at {len(tripped)} of {len(running)}: {', '.join(tripped[:5])}"
        return None


def next_epoch(
    ledger_state: LedgerState,
    live: tuple[str, ...],
    known: int,
    settings: Settings,
    condition_age_s: ConditionAge,
) -> tuple[Epoch | None, dict[str, str]]:
    """Returns the epoch to propose, or None, and by name the reasons why changes wait ("": for all names)."""
    current = ledger_state.epoch
    found = plan_slots(ledger_state, live, settings, condition_age_s)
    waits = found.wait_reasons
    voters = choose_voters(current, live, settings.size)
    known_ids, reports = current.voter_store_ids(), ledger_state.reports
    store_ids = tuple(
        reports[m].store_id if m in live and m in reports else known_ids.get(m, 0) for m in voters
    )
    voters_differ = bool(current.voters) and (voters, store_ids) != (current.voters, current.store_ids)
    if not current.voters and known > settings.size:
        return None, {**waits, "": f"{known} members are known, and size is {settings.size}"}
    change_voters = (
        voters_differ and condition_age_s(f"voters {voters} {store_ids}") >= settings.voter_change_delay_s
    )
    if found.slots == current.slots and not change_voters:
        return None, waits
    if not current.voters and len(live) < settings.size:  # otherwise a few voters would decide the next epoch
        return None, {**waits, "": no_quorum_reason(current, live, settings.size)}
    live_voters = [m for m in live if not current.voters or m in known_ids]
    if not is_quorum(current, settings.size, [(m, reports[m].store_id) for m in live_voters if m in reports]):
        waits = {**waits, "": no_quorum_reason(current, live, settings.size)}
    return Epoch(current.number + 1, voters, found.slots, store_ids), waits


def no_quorum_reason(current: Epoch, live: tuple[str, ...], size: int) -> str:
    """Why the live members are not a quorum, for people."""
    if not current.voters:
        return f"the first epoch needs all {size} members, and {len(live)} are live and have reported"
    absent = sorted(set(current.voters) - set(live))
    return (
        f"half or more of the {len(current.voters)} voters are absent or lost their stores, all are needed; "
        f"absent: {', '.join(absent[:5]) or 'none, but a report is missing'}"
    )
