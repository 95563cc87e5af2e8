"""Payloads on their way: pieces asked of one member at a time, the whole checked against its hash.

A payload is fetched whole from one member, so that one which does not match names its liar. Members that told
of the head are asked first, then its writer, then the others in random order; each has `piece_s` for a piece.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable, Sequence

from cloverkeel.fleet.ledger.dots import Dot
from cloverkeel.fleet.ledger.interface import Settings
from cloverkeel.fleet.ledger.messages import PIECE, Fetch, Piece
from cloverkeel.fleet.ledger.records import Record, digest


@dataclasses.dataclass
class Transfer:
    """One payload that is wanted, and the heads that wait for it."""

    sha256: bytes
    size: int
    since_s: float
    heads: dict[Dot, Record]
    tellers: list[str]  # members to ask first
    to_ask: list[str] = dataclasses.field(default_factory=list)
    asked: str | None = None  # the member whose piece is awaited
    length: int = 0  # of that piece, in bytes
    due_s: float = 0.0  # its answer; with nobody asked, the next round
    parts: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass
class Fetches:
    settings: Settings
    rng: random.Random
    wanted: dict[bytes, Transfer] = dataclasses.field(default_factory=dict)
    pending: dict[Dot, bytes] = dataclasses.field(default_factory=dict)  # to the payload it waits for
    by_writer: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    distrusted: dict[str, float] = dataclasses.field(default_factory=dict)  # member to until when
    in_flight: int = 0  # pieces
    in_flight_bytes: int = 0
    mismatched: int = 0
    given_up: int = 0

    def add(self, now_s: float, record: Record, teller: str) -> bool:
        """Want the payload of a head; False where too many wait already."""
        limits = self.settings.limits
        if record.dot in self.pending:
            self._tell(self.wanted[record.sha256], teller)
            return True
        if len(self.pending) >= limits.pending or self.by_writer[record.dot.member] >= limits.writer_pending:
            return False
        transfer = self.wanted.get(record.sha256)
        if transfer is None:
            transfer = Transfer(record.sha256, record.size, now_s, {}, [])
            self.wanted[record.sha256] = transfer
        elif transfer.size != record.size:
            return False  # one of the two heads is wrong: this one is offered again once the other is through
        self._tell(transfer, teller)
        transfer.heads[record.dot] = record
        self.pending[record.dot] = record.sha256
        self.by_writer[record.dot.member] += 1
        return True

    def forget(self, obsolete: Callable[[Record], bool]) -> None:
        """Let go the heads that are superseded by now."""
        for transfer in list(self.wanted.values()):
            for record in [r for r in transfer.heads.values() if obsolete(r)]:
                self._unwant(transfer, record)

    def ask(self, now_s: float, live: Sequence[str]) -> list[tuple[str, Fetch]]:
        """What to send: the next piece of each payload that waits for none, within the bound in flight."""
        sends: list[tuple[str, Fetch]] = []
        if not self.wanted or self._full():
            return sends
        for transfer in list(self.wanted.values()):
            if self._full():
                break
            if transfer.asked is not None or now_s < transfer.due_s:
                continue
            member = self._next_member(now_s, transfer, live)
            if member is None:
                transfer.due_s = now_s + self.settings.piece_s
                continue
            sends.append((member, self._fetch(now_s, transfer, member)))
        return sends

    def heard(
        self, now_s: float, member: str, piece: Piece
    ) -> tuple[list[tuple[str, Fetch]], list[Record], bytes]:
        """A piece has come: what to send now, and the heads whose payload (the last) is whole and sound."""
        transfer = self.wanted.get(piece.sha256)
        if transfer is None or transfer.asked != member or piece.offset != len(transfer.parts):
            return [], [], b""  # late, doubled, or never asked for
        if piece.data is None or piece.size != transfer.size or len(piece.data) != transfer.length:
            self._idle(transfer, now_s)
            return [], [], b""
        transfer.parts += piece.data
        if len(transfer.parts) < transfer.size:
            self._answered(transfer)
            return [(member, self._fetch(now_s, transfer, member))], [], b""
        payload = bytes(transfer.parts)
        self._idle(transfer, now_s)
        if digest(payload) != transfer.sha256:
            self.mismatched += 1
            self.distrusted[member] = now_s + self.settings.distrust_s
            return [], [], b""
        whole = list(transfer.heads.values())
        for record in whole:
            self._unwant(transfer, record)
        return [], whole, payload

    def tick(self, now_s: float) -> None:
        self.distrusted = {m: until for m, until in self.distrusted.items() if until > now_s}
        for transfer in list(self.wanted.values()):
            if now_s - transfer.since_s >= self.settings.give_up_s:
                self.given_up += len(transfer.heads)
                for record in list(transfer.heads.values()):
                    self._unwant(transfer, record)
            elif transfer.asked is not None and now_s >= transfer.due_s:
                self._idle(transfer, now_s)

    def _tell(self, transfer: Transfer, teller: str) -> None:
        if teller not in transfer.tellers and len(transfer.tellers) < self.settings.fanout:
            transfer.tellers.append(teller)

    def _next_member(self, now_s: float, transfer: Transfer, members: Sequence[str]) -> str | None:
        if not transfer.to_ask:
            first = [*transfer.tellers, *sorted({dot.member for dot in transfer.heads})]
            others = [member for member in members if member not in first]
            self.rng.shuffle(others)
            transfer.to_ask = [m for m in dict.fromkeys(first) if m in members] + others
        while transfer.to_ask:
            member = transfer.to_ask.pop(0)
            if self.distrusted.get(member, 0.0) <= now_s:
                return member
        return None

    def _fetch(self, now_s: float, transfer: Transfer, member: str) -> Fetch:
        transfer.asked, transfer.due_s = member, now_s + self.settings.piece_s
        transfer.length = min(PIECE, transfer.size - len(transfer.parts))
        self.in_flight += 1
        self.in_flight_bytes += transfer.length
        return Fetch(transfer.sha256, len(transfer.parts), transfer.length)

    def _answered(self, transfer: Transfer) -> None:
        """Its piece is here, or is not waited for any more."""
        if transfer.asked is not None:
            self.in_flight -= 1
            self.in_flight_bytes -= transfer.length
        transfer.asked = None

    def _full(self) -> bool:
        limits = self.settings.limits
        return self.in_flight >= limits.pieces or self.in_flight_bytes + PIECE > limits.piece_bytes

    def _idle(self, transfer: Transfer, now_s: float) -> None:
        """Nobody is asked for this payload any more, and what came is not kept: the next begins anew."""
        self._answered(transfer)
        transfer.due_s = now_s if transfer.to_ask else now_s + self.settings.piece_s
        transfer.parts = bytearray()

    def _unwant(self, transfer: Transfer, record: Record) -> None:
        del transfer.heads[record.dot], self.pending[record.dot]
        self.by_writer[record.dot.member] -= 1
        if not self.by_writer[record.dot.member]:
            del self.by_writer[record.dot.member]
        if not transfer.heads:
            self._answered(transfer)
            del self.wanted[transfer.sha256]
