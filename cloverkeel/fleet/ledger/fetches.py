"""Fetches payloads from other members, piece by piece, and checks each payload against its SHA-256.

All pieces of a payload are fetched from one member, so that a hash mismatch identifies the member at fault.
Members that sent the head are asked first, then its writer, then the other live members in random order. Each
piece has to arrive within `piece_timeout_s`.
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
    """One payload that is being fetched, and the heads that wait for it."""

    sha256: bytes
    size: int
    since_s: float  # when the payload was first requested
    heads: dict[Dot, Record]
    sources: list[str]  # members that sent one of the heads: asked first
    candidates: list[str] = dataclasses.field(default_factory=list)  # still to be asked in this round
    asked_member: str | None = None  # whose piece is outstanding; None: no request is
    piece_length: int = 0  # bytes requested in that piece
    due_s: float = 0.0  # deadline of the outstanding piece, or when to ask the next member
    received: bytearray = dataclasses.field(default_factory=bytearray)  # from the member asked, so far


@dataclasses.dataclass
class PayloadFetches:
    """All payload transfers of a member, within the limits on pending heads and on pieces in flight."""

    settings: Settings
    rng: random.Random
    transfers: dict[bytes, Transfer] = dataclasses.field(default_factory=dict)  # by SHA-256
    pending: dict[Dot, bytes] = dataclasses.field(default_factory=dict)  # head to SHA-256 of its payload
    pending_by_writer: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    distrusted: dict[str, float] = dataclasses.field(default_factory=dict)  # member, and until when
    in_flight: int = 0  # pieces requested and not received
    in_flight_bytes: int = 0
    mismatched: int = 0  # payloads that did not match their SHA-256
    given_up: int = 0  # heads dropped because their payload did not arrive within `give_up_s`

    def add(self, now_s: float, record: Record, sender: str) -> bool:
        """Starts fetching the payload of a head; False if the head cannot be accepted now."""
        limits = self.settings.limits
        if record.dot in self.pending:
            self._add_source(self.transfers[record.sha256], sender)
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
            return False  # one of the two heads is wrong: this one is offered again once the other is done
        self._add_source(transfer, sender)
        transfer.heads[record.dot] = record
        self.pending[record.dot] = record.sha256
        self.pending_by_writer[record.dot.member] += 1
        return True

    def remove_heads(self, obsolete: Callable[[Record], bool]) -> None:
        """Drops the heads for which `obsolete` holds, and transfers that no head needs any more."""
        for transfer in list(self.transfers.values()):
            for record in [r for r in transfer.heads.values() if obsolete(r)]:
                self._remove_head(transfer, record)

    def next_fetches(self, now_s: float, live: Sequence[str]) -> list[tuple[str, Fetch]]:
        """The requests to send now: the next piece of each transfer with none outstanding, within limits."""
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
        """Handles a piece of a payload.

        Returns the requests to send and, once a payload is complete and matches its hash, the heads that
        waited for it and the payload itself.
        """
        transfer = self.transfers.get(piece.sha256)
        if transfer is None or transfer.asked_member != member or piece.offset != len(transfer.received):
            return [], [], b""  # late, duplicated, or never requested
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
        completed = list(transfer.heads.values())
        for record in completed:
            self._remove_head(transfer, record)
        return [], completed, payload

    def tick(self, now_s: float) -> None:
        """Ends distrust, and transfers and piece requests whose time is over."""
        self.distrusted = {m: until for m, until in self.distrusted.items() if until > now_s}
        for transfer in list(self.transfers.values()):
            if now_s - transfer.since_s >= self.settings.give_up_s:
                self.given_up += len(transfer.heads)
                for record in list(transfer.heads.values()):
                    self._remove_head(transfer, record)
            elif transfer.asked_member is not None and now_s >= transfer.due_s:
                self._restart(transfer, now_s)

    def _add_source(self, transfer: Transfer, sender: str) -> None:
        if sender not in transfer.sources and len(transfer.sources) < self.settings.fanout:
            transfer.sources.append(sender)

    def _next_member(self, now_s: float, transfer: Transfer, members: Sequence[str]) -> str | None:
        """The next member to ask, or None if all of this round are distrusted."""
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
        """The request for the next piece of the payload, counted as in flight."""
        transfer.asked_member, transfer.due_s = member, now_s + self.settings.piece_timeout_s
        transfer.piece_length = min(PIECE_BYTES, transfer.size - len(transfer.received))
        self.in_flight += 1
        self.in_flight_bytes += transfer.piece_length
        return Fetch(transfer.sha256, len(transfer.received), transfer.piece_length)

    def _end_request(self, transfer: Transfer) -> None:
        """Ends the outstanding piece request, if any: the piece has arrived or is no longer awaited."""
        if transfer.asked_member is not None:
            self.in_flight -= 1
            self.in_flight_bytes -= transfer.piece_length
        transfer.asked_member = None

    def _at_limit(self) -> bool:
        limits = self.settings.limits
        return self.in_flight >= limits.pieces or self.in_flight_bytes + PIECE_BYTES > limits.piece_bytes

    def _restart(self, transfer: Transfer, now_s: float) -> None:
        """Stops fetching from the current member and discards what it sent: the next starts at offset 0."""
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
