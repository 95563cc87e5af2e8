"""Encodes and decodes snapshots and checks their age; no I/O."""

from __future__ import annotations

import json
from typing import Any

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet.snapshot import Snapshot

SCHEMA_VERSION = 1
MAX_CLOCK_SKEW_S = 1.0  # a snapshot dated further in the future was taken while a clock was wrong


def _decode_breaker(raw: list[Any]) -> LearnedBreaker:
    """Raises ValueError where the state is unknown or the list has another length."""
    ring, state, left_us, cooldown_us = raw
    if state not in ("closed", "open", "half-open"):
        raise ValueError(f"no such breaker state {state!r:.20}")
    return LearnedBreaker(tuple(bool(o) for o in ring), state, int(left_us), int(cooldown_us))


def encode(snapshot: Snapshot) -> bytes:
    """Encodes a snapshot as compact JSON; a breaker is [ring, state, open_left_us, cooldown_us]."""

    def breaker(state: LearnedBreaker) -> list[Any]:
        return [[int(o) for o in state.ring], state.state, state.open_left_us, state.cooldown_us]

    learned = snapshot.learned
    servers = [
        [s.server, s.started_us, s.weight, s.idle, breaker(s.breaker),
         [[class_id, weight, breaker(state)] for class_id, weight, state in s.by_class]]
        for s in learned.servers
    ]  # fmt: skip
    raw = {
        "v": SCHEMA_VERSION, "taken_unix_s": snapshot.taken_unix_s, "servers": servers,
        "known": snapshot.known,
        "smoothed_us": learned.smoothed_us, "unhindered_us": learned.unhindered_us,
        "classes": [name.decode("latin-1") for name in snapshot.classes],
    }  # fmt: skip
    return json.dumps(raw, separators=(",", ":")).encode()


def decode(payload: bytes) -> Snapshot:
    """Decodes the output of `encode`; raises ValueError for any other input."""
    try:
        raw = json.loads(payload)
        servers = tuple(
            LearnedServer(
                int(server), int(started), float(weight), float(idle), _decode_breaker(b),
                tuple((int(k), float(w), _decode_breaker(pb)) for k, w, pb in by_class),
            )
            for server, started, weight, idle, b, by_class in raw["servers"]
        )  # fmt: skip
        learned = LearnedState(
            servers, tuple(map(float, raw["smoothed_us"])), tuple(map(float, raw["unhindered_us"]))
        )
        known = raw["known"]
        if not isinstance(known, dict):
            raise ValueError("known is not a JSON object")
        classes = tuple(str(name).encode("latin-1") for name in raw.get("classes", ()))
        return Snapshot(float(raw["taken_unix_s"]), learned, known, classes)
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"payload does not parse: {error!r:.80}") from None


def unusable_reason(snapshot: Snapshot, now_unix_s: float, max_age_s: float) -> str | None:
    """Why a valid snapshot must not be used (too old, or dated in the future), or None."""
    age_s = now_unix_s - snapshot.taken_unix_s
    if age_s > max_age_s:
        return f"taken {age_s:.1f} s ago, over the bound of {max_age_s:g} s"
    if age_s < -MAX_CLOCK_SKEW_S:
        return f"taken {-age_s:.1f} s from now"
    return None
