"""What the next epoch should be: a function of the book, the view and how long things have been so.

`step` moves one slot by one change. An epoch that brings a version in waits until each live member runs
the current one; one that only takes a version out never waits (docs/activation.md, "From an order to all
members").
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Callable, Iterable

import msgspec

from cloverkeel.transforms.activation.ledger_state import LedgerState
from cloverkeel.transforms.activation.paxos import is_quorum
from cloverkeel.transforms.activation.interface import Settings
from cloverkeel.transforms.activation.records import MAX_SLOTS, Epoch, Order, Slot

MAX_REASON_CHARS = 400  # characters of a slot's reason

ConditionAge = Callable[[str], float]  # for how long the condition of this name has been asked after, seconds


@dataclasses.dataclass
class Plan:
    """The slots of the next epoch, and for each name that is waited for, the reason."""

    slots: dict[str, Slot]
    wait_reasons: dict[str, str]


def share_count(count: int, part: float) -> int:
    return max(1, round(count * part))


def choose_canaries(version: str, members: Iterable[str], part: float) -> tuple[str, ...]:
    """The members that run a version first: rendezvous hashing (Thaler, Ravishankar, 1998) on both names."""
    ranked = sorted(members, key=lambda m: hashlib.sha256(f"{version}\0{m}".encode()).digest())
    return tuple(sorted(ranked[: share_count(len(ranked), part)]))


def plan_slots(book: LedgerState, live: tuple[str, ...], settings: Settings, lasting: ConditionAge) -> Plan:
    found = Plan(dict(book.epoch.slots), {})
    for name in book.names():
        slot, orders = book.epoch.slot(name), book.open_orders(name)
        if name not in book.epoch.slots and len(found.slots) >= MAX_SLOTS:
            found.wait_reasons[name] = f"over {MAX_SLOTS} names"
            continue
        outcome = SlotStep(book, live, settings, lasting, slot, orders).next_slot()
        if isinstance(outcome, Slot):
            found.slots[name] = outcome
        elif outcome:
            found.wait_reasons[name] = outcome
    return found


def choose_voters(epoch: Epoch, live: tuple[str, ...], size: int) -> tuple[str, ...]:
    """The live, and of the former ones that are absent as many as make up `size`."""
    absent = sorted(set(epoch.voters) - set(live))
    return tuple(sorted({*live, *absent[: max(0, size - len(live))]}))


@dataclasses.dataclass
class SlotStep:
    """One name's next change."""

    ledger_state: LedgerState
    live: tuple[str, ...]
    settings: Settings
    condition_age_s: ConditionAge
    slot: Slot
    orders: list[Order]  # open, in sequence

    def next_slot(self) -> Slot | str:
        """The slot after the next change; or why there is none ("" where nothing is to be done)."""
        slot, top = self.slot, self.orders[-1] if self.orders else None
        if top is not None and top.verb == "rollback":
            return self._roll_back(top)
        if (tripped := self._open_breakers_reason(slot.active)) is not None:
            return self._remove_active(f"quarantined: {slot.active} {tripped}", slot.last)
        if slot.candidate:
            return self._advance_canary(top)
        if not slot.active and slot.before:
            return self._restore_before()
        if still := tuple(m for m in slot.behind if not self._has_staged(m, slot.active)):
            if still != slot.behind:
                return msgspec.structs.replace(slot, behind=still)
        elif slot.behind:
            return msgspec.structs.replace(slot, behind=())
        return self._start_canary(top) if top is not None else ""

    # Taking out.

    def _roll_back(self, order: Order) -> Slot | str:
        if self.slot.candidate:
            why = f"rolled back: {self.slot.candidate}, a candidate"
            return msgspec.structs.replace(self.slot, candidate="", canaries=(), last=order.sequence, why=why)
        why = f"rolled back: {self.slot.active or 'nothing was active'}"
        return self._remove_active(why, order.sequence)

    def _remove_active(self, why: str, last: tuple[int, str]) -> Slot:
        gone = msgspec.structs.replace(self.slot, active="", behind=(), last=last, why=why[:MAX_REASON_CHARS])
        if gone.before and not gone.candidate and not self._not_on_epoch():  # both in one step
            gone = msgspec.structs.replace(gone, active=gone.before, before="")
        return gone

    def _restore_before(self) -> Slot | str:
        if missing := self._not_on_epoch():
            return f"{missing[0]} does not run epoch {self.ledger_state.epoch.number} yet"
        return msgspec.structs.replace(self.slot, active=self.slot.before, before="")

    def _advance_canary(self, top: Order | None) -> Slot | str:
        slot, settings = self.slot, self.settings
        without = msgspec.structs.replace(slot, candidate="", canaries=())
        if (tripped := self._open_breakers_reason(slot.candidate)) is not None:
            why = f"quarantined: {slot.candidate} {tripped}"
            return msgspec.structs.replace(without, why=why[:MAX_REASON_CHARS])
        if top is not None:
            return msgspec.structs.replace(without, why=f"overtaken: {slot.candidate} by {top.id}")
        running = [m for m in slot.canaries if m in self.live and self._has_staged(m, slot.candidate)]
        if not running:
            able = [m for m in self.live if self._has_staged(m, slot.candidate)]
            if not able:
                return "no live member has the candidate"
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

    # Bringing in.

    def _start_canary(self, order: Order) -> Slot | str:
        slot, settings, live = self.slot, self.settings, self.live
        answers = {
            m: r.stage_results[order.id]
            for m in live
            if (r := self.ledger_state.reports.get(m)) and order.id in r.stage_results
        }
        able = [m for m, reason in answers.items() if not reason]
        waited_s = self.condition_age_s(f"staging {order.id}")
        if len(able) < len(live):
            unable = {m: reason for m, reason in answers.items() if reason}
            first = next((f"{m}: {reason}" for m, reason in unable.items()), "")
            if len(unable) == len(live) or (
                2 * len(unable) >= len(live) and waited_s >= settings.stage_timeout_s
            ):
                why = f"refused: {order.id} by {len(unable)} of {len(live)}: {first}"
                return msgspec.structs.replace(slot, last=order.sequence, why=why[:MAX_REASON_CHARS])
            if waited_s < settings.stage_timeout_s or 2 * len(able) <= len(live):
                silent = next((m for m in live if m not in answers), live[0])
                return f"staged at {len(able)} of {len(live)}: {first or silent + ' has not answered'}"
        if slot.behind:
            return msgspec.structs.replace(slot, behind=())  # they run none of it from now on
        if missing := self._not_on_epoch():
            return f"{missing[0]} does not run epoch {self.ledger_state.epoch.number} yet"
        chosen = choose_canaries(order.id, able, settings.canary_share)
        return msgspec.structs.replace(
            slot, candidate=order.id, canaries=chosen, last=order.sequence, why="canary"
        )

    # What the reports say.

    def _has_staged(self, member: str, version: str) -> bool:
        report = self.ledger_state.reports.get(member)
        return report is not None and report.stage_results.get(version) == ""

    def _not_on_epoch(self, members: Iterable[str] | None = None) -> list[str]:
        """Live members that do not run the current epoch, as far as they have said."""
        reports = self.ledger_state.reports
        return [
            m for m in (self.live if members is None else members)
            if (r := reports.get(m)) is None or r.epoch != self.ledger_state.epoch.number
        ]  # fmt: skip

    def _open_breakers_reason(self, version: str) -> str | None:
        """Where too many of those that run it have its breaker open, how many."""
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
    book: LedgerState, live: tuple[str, ...], known: int, settings: Settings, lasting: ConditionAge
) -> tuple[Epoch | None, dict[str, str]]:
    """The epoch to propose, and what is waited for, by name ("" for what concerns all)."""
    current = book.epoch
    found = plan_slots(book, live, settings, lasting)
    waits = found.wait_reasons
    wanted = choose_voters(current, live, settings.size)
    named, reports = current.voter_store_ids(), book.reports
    disks = tuple(reports[m].store_id if m in live and m in reports else named.get(m, 0) for m in wanted)
    stale = bool(current.voters) and (wanted, disks) != (current.voters, current.store_ids)
    if not current.voters and known > settings.size:
        return None, {**waits, "": f"{known} members are known, and size is {settings.size}"}
    renew = stale and lasting(f"voters {wanted} {disks}") >= settings.voter_change_delay_s
    if found.slots == current.slots and not renew:
        return None, waits
    if not current.voters and len(live) < settings.size:  # else few of them would decide the next one
        return None, {**waits, "": no_quorum_reason(current, live, settings.size)}
    here = [m for m in live if not current.voters or m in named]
    if not is_quorum(current, settings.size, [(m, reports[m].store_id) for m in here if m in reports]):
        waits = {**waits, "": no_quorum_reason(current, live, settings.size)}
    return Epoch(current.number + 1, wanted, found.slots, disks), waits


def no_quorum_reason(current: Epoch, live: tuple[str, ...], size: int) -> str:
    """Why those who are here are no quorum, for people."""
    if not current.voters:
        return f"the first epoch takes all {size} members, and {len(live)} are here and have reported"
    absent = sorted(set(current.voters) - set(live))
    return (
        f"half of the {len(current.voters)} voters or more are away or lost their disks: all are needed; "
        f"away: {', '.join(absent[:5]) or 'none, a report is waited for'}"
    )
