"""Accepts records from other members: from a received head to the put that is on disk."""

from __future__ import annotations

import collections
import random

from cloverkeel.fleet.ledger.dots import Actor, Dot
from cloverkeel.fleet.ledger.fetches import PayloadFetches
from cloverkeel.fleet.ledger.interface import Settings
from cloverkeel.fleet.ledger.messages import Heads
from cloverkeel.fleet.ledger.records import Record, payload_hash
from cloverkeel.fleet.ledger.replica import Put, Replica


class Intake:
    """The heads received from other members that are being fetched, stored or deferred."""

    def __init__(self, own_actor: Actor, settings: Settings, replica: Replica, rng: random.Random) -> None:
        self.own_actor, self.settings, self.replica = own_actor, settings, replica
        self.fetches = PayloadFetches(settings, rng)
        self.staged: set[Dot] = set()  # of the puts handed to the ledger, until `on_persisted`
        self.retries: list[tuple[float, Put]] = []  # when to retry puts that could not be written to disk
        self.deferred: dict[Dot, float] = {}  # heads over a limit, and until when they are not requested
        self.fresh_from: dict[Dot, str] = {}  # heads to forward once on disk, and who sent them
        self.confirm_to: dict[Dot, set[str]] = {}  # heads, and the members that wait for a `Held`
        self.over_limit: list[tuple[Record, str]] = []  # deferred heads that are still to be logged, and why
        self.counts: collections.Counter[str] = collections.Counter()

    def on_heads(self, now_s: float, member: str, heads: Heads) -> tuple[list[Dot], list[Put]]:
        """Handles received heads: returns the dots that are on disk already, and the puts to stage."""
        have: list[Dot] = []
        puts: list[Put] = []
        inline = {payload_hash(payload): payload for payload in heads.payloads}
        for record in heads.records:
            if self.replica.context.covers(record.dot):
                have.append(record.dot)
                continue
            if not self._accept(now_s, member, record, puts, inline):
                continue
            if heads.fresh:
                self.fresh_from.setdefault(record.dot, member)
            if heads.confirm:
                self.confirm_to.setdefault(record.dot, set()).add(member)
        return have, puts

    def stage(self, put: Put) -> Put:
        """Marks a put as staged, own or received, so that its head is not fetched again; returns it."""
        self.staged.add(put.record.dot)
        return put

    def on_persisted(self, dot: Dot) -> tuple[str, set[str]]:
        """The put of `dot` is no longer staged.

        Returns the member that sent it, if it is to be forwarded (else ""), and those that wait for a `Held`.
        """
        self.staged.discard(dot)
        return self.fresh_from.pop(dot, ""), self.confirm_to.pop(dot, set())

    def on_persist_failed(self, now_s: float, put: Put) -> None:
        """Schedules a put that could not be written to disk to be staged again."""
        self.retries.append((now_s + self.settings.disk_retry_s, put))

    def defer(self, now_s: float, record: Record, why: str) -> None:
        """Does not request this head for `give_up_s`: it is over a limit."""
        self.staged.discard(record.dot)
        self.counts["over_limits"] += 1
        self.over_limit.append((record, why))
        if len(self.deferred) < self.settings.limits.pending:
            self.deferred[record.dot] = now_s + self.settings.give_up_s

    def excluded_dots(self) -> set[Dot]:
        """The dots not to be requested: staged, being fetched, or deferred."""
        return {*self.staged, *self.fetches.pending, *self.deferred}

    def tick(self, now_s: float) -> list[Put]:
        """Expires what is out of date; returns the puts to stage again."""
        due = [put for at_s, put in self.retries if at_s <= now_s]
        self.retries = [(at_s, put) for at_s, put in self.retries if at_s > now_s]
        self.deferred = {dot: until_s for dot, until_s in self.deferred.items() if until_s > now_s}
        self.fetches.tick(now_s)
        pending = self.fetches.pending
        self.fresh_from = {
            d: sender for d, sender in self.fresh_from.items() if d in pending or d in self.staged
        }
        self.confirm_to = {
            d: waiting for d, waiting in self.confirm_to.items() if d in pending or d in self.staged
        }
        return due

    def _accept(
        self, now_s: float, member: str, record: Record, puts: list[Put], inline: dict[bytes, bytes]
    ) -> bool:
        """Whether a head that is new here is now staged (and its put in `puts`) or being fetched.

        `inline`: payloads of the message, by their computed SHA-256; those that no head names are ignored.
        """
        dot = record.dot
        if dot in self.staged:
            return True
        if dot in self.deferred:
            return False
        if dot.actor == self.own_actor:
            self.counts["forged"] += 1
            return False
        why = self.replica.limit_reason(record)
        if why is not None:
            self.defer(now_s, record, why)
            return False
        source = self.replica.payloads if record.sha256 in self.replica.payloads else inline
        payload = b"" if record.deleted else source.get(record.sha256)
        if payload is None:
            accepted = self.fetches.add(now_s, record, member)
            self.counts["pending_full"] += not accepted
            return accepted
        if len(payload) != record.size or len(self.staged) >= self.settings.limits.pending:
            return False
        if dot in self.fetches.pending:
            self.fetches.remove_heads(lambda head: head.dot == dot)
        puts.append(self.stage(Put(record, payload)))
        return True
