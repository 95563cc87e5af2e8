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
from cloverkeel.fleet.ledger.messages import PIECE_BYTES, Fetch, Piece
from cloverkeel.fleet.ledger.records import Record, payload_hash


@dataclasses.dataclass
class Transfer:
    """One payload that is wanted, and the heads that wait for it."""

    sha256: bytes
    size: int
    since_s: float
    heads: dict[Dot, Record]
    sources: list[str]  # members to ask first
    candidates: list[str] = dataclasses.field(default_factory=list)
    asked_member: str | None = None  # the member whose piece is awaited
    piece_length: int = 0  # of that piece, in bytes
    due_s: float = 0.0  # its answer; with nobody asked, the next round
    received: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass
class PayloadFetches:
    settings: Settings
    rng: random.Random
    transfers: dict[bytes, Transfer] = dataclasses.field(default_factory=dict)
    pending: dict[Dot, bytes] = dataclasses.field(default_factory=dict)  # to the payload it waits for
    pending_by_writer: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    distrusted: dict[str, float] = dataclasses.field(default_factory=dict)  # member to until when
    in_flight: int = 0  # pieces
    in_flight_bytes: int = 0
    mismatched: int = 0
    given_up: int = 0

    def add(self, now_s: float, record: Record, teller: str) -> bool:
        """Want the payload of a head; False where too many wait already."""
        limits = self.settings.limits
        if record.dot in self.pending:
            self._add_source(self.transfers[record.sha256], teller)
            return True
        if (
            len(self.pending) >= limits.pending
            or self.pending_by_writer[record.dot.member] >= limits.writer_pending
        ):
            return False
        transfer = self.transfers.get(record.sha256)
        if transfer is None:
            transfer = Transfer(record.sha256, record.size, now_s, {}, [])
            self.transfers[record.sha256] = transfer
        elif transfer.size != record.size:
            return False  # one of the two heads is wrong: this one is offered again once the other is through
        self._add_source(transfer, teller)
        transfer.heads[record.dot] = record
        self.pending[record.dot] = record.sha256
        self.pending_by_writer[record.dot.member] += 1
        return True

    def remove_heads(self, obsolete: Callable[[Record], bool]) -> None:
        """Let go the heads that are superseded by now."""
        for transfer in list(self.transfers.values()):
            for record in [r for r in transfer.heads.values() if obsolete(r)]:
                self._remove_head(transfer, record)

    def next_fetches(self, now_s: float, live: Sequence[str]) -> list[tuple[str, Fetch]]:
        """What to send: the next piece of each payload that waits for none, within the bound in flight."""
        sends: list[tuple[str, Fetch]] = []
        if not self.transfers or self._at_limit():
            return sends
        for transfer in list(self.transfers.values()):
            if self._at_limit():
                break
            if transfer.asked_member is not None or now_s < transfer.due_s:
                continue
            member = self._next_member(now_s, transfer, live)
            if member is None:
                transfer.due_s = now_s + self.settings.piece_timeout_s
                continue
            sends.append((member, self._request_piece(now_s, transfer, member)))
        return sends

    def on_piece(
        self, now_s: float, member: str, piece: Piece
    ) -> tuple[list[tuple[str, Fetch]], list[Record], bytes]:
        """A piece has come: what to send now, and the heads whose payload (the last) is whole and sound."""
        transfer = self.transfers.get(piece.sha256)
        if transfer is None or transfer.asked_member != member or piece.offset != len(transfer.received):
            return [], [], b""  # late, doubled, or never asked for
        if piece.data is None or piece.size != transfer.size or len(piece.data) != transfer.piece_length:
            self._restart(transfer, now_s)
            return [], [], b""
        transfer.received += piece.data
        if len(transfer.received) < transfer.size:
            self._end_request(transfer)
            return [(member, self._request_piece(now_s, transfer, member))], [], b""
        payload = bytes(transfer.received)
        self._restart(transfer, now_s)
        if payload_hash(payload) != transfer.sha256:
            self.mismatched += 1
            self.distrusted[member] = now_s + self.settings.distrust_s
            return [], [], b""
        whole = list(transfer.heads.values())
        for record in whole:
            self._remove_head(transfer, record)
        return [], whole, payload

    def tick(self, now_s: float) -> None:
        self.distrusted = {m: until for m, until in self.distrusted.items() if until > now_s}
        for transfer in list(self.transfers.values()):
            if now_s - transfer.since_s >= self.settings.give_up_s:
                self.given_up += len(transfer.heads)
                for record in list(transfer.heads.values()):
                    self._remove_head(transfer, record)
            elif transfer.asked_member is not None and now_s >= transfer.due_s:
                self._restart(transfer, now_s)

    def _add_source(self, transfer: Transfer, teller: str) -> None:
        if teller not in transfer.sources and len(transfer.sources) < self.settings.fanout:
            transfer.sources.append(teller)

    def _next_member(self, now_s: float, transfer: Transfer, members: Sequence[str]) -> str | None:
        if not transfer.candidates:
            first = [*transfer.sources, *sorted({dot.member for dot in transfer.heads})]
            others = [member for member in members if member not in first]
            self.rng.shuffle(others)
            transfer.candidates = [m for m in dict.fromkeys(first) if m in members] + others
        while transfer.candidates:
            member = transfer.candidates.pop(0)
            if self.distrusted.get(member, 0.0) <= now_s:
                return member
        return None

    def _request_piece(self, now_s: float, transfer: Transfer, member: str) -> Fetch:
        transfer.asked_member, transfer.due_s = member, now_s + self.settings.piece_timeout_s
        transfer.piece_length = min(PIECE_BYTES, transfer.size - len(transfer.received))
        self.in_flight += 1
        self.in_flight_bytes += transfer.piece_length
        return Fetch(transfer.sha256, len(transfer.received), transfer.piece_length)

    def _end_request(self, transfer: Transfer) -> None:
        """Its piece is here, or is not waited for any more."""
        if transfer.asked_member is not None:
            self.in_flight -= 1
            self.in_flight_bytes -= transfer.piece_length
        transfer.asked_member = None

    def _at_limit(self) -> bool:
        limits = self.settings.limits
        return self.in_flight >= limits.pieces or self.in_flight_bytes + PIECE_BYTES > limits.piece_bytes

    def _restart(self, transfer: Transfer, now_s: float) -> None:
        """Nobody is asked for this payload any more, and what came is not kept: the next begins anew."""
        self._end_request(transfer)
        transfer.due_s = now_s if transfer.candidates else now_s + self.settings.piece_timeout_s
        transfer.received = bytearray()

    def _remove_head(self, transfer: Transfer, record: Record) -> None:
        del transfer.heads[record.dot], self.pending[record.dot]
        self.pending_by_writer[record.dot.member] -= 1
        if not self.pending_by_writer[record.dot.member]:
            del self.pending_by_writer[record.dot.member]
        if not transfer.heads:
            self._end_request(transfer)
            del self.transfers[transfer.sha256]
