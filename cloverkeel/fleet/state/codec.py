"""A snapshot as bytes and back, and the judgement of one: pure."""

from __future__ import annotations

import json
from typing import Any

from caperdrift.interface import LearnedState, LearnedBreaker, LearnedServer

from cloverkeel.fleet.snapshot import Snapshot

SCHEMA_VERSION = 1
MAX_CLOCK_SKEW_S = 1.0  # a snapshot taken later than now by more than this is from a clock that was wrong


def _decode_breaker(raw: list[Any]) -> LearnedBreaker:
    ring, state, left_us, cooldown_us = raw
    if state not in ("closed", "open", "half-open"):
        raise ValueError(f"no breaker state {state!r:.20}")
    return LearnedBreaker(tuple(bool(o) for o in ring), state, int(left_us), int(cooldown_us))


def encode(snapshot: Snapshot) -> bytes:
    """A snapshot as compact JSON, breakers as [ring, state, open_left_us, cooldown_us]."""

    def breaker(b: LearnedBreaker) -> list[Any]:
        return [[int(o) for o in b.ring], b.state, b.open_left_us, b.cooldown_us]

    learned = snapshot.learned
    servers = [
        [s.server, s.started_us, s.weight, s.idle, breaker(s.breaker),
         [[k, w, breaker(b)] for k, w, b in s.by_class]]
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
    """The inverse of `encode`; raises ValueError for anything else."""
    try:
        raw = json.loads(payload)
        servers = tuple(
            LearnedServer(
                int(server), int(started), float(weight), float(idle), _decode_breaker(b),
                tuple((int(k), float(w), _decode_breaker(pb)) for k, w, pb in parts),
            )
            for server, started, weight, idle, b, parts in raw["servers"]
        )  # fmt: skip
        learned = LearnedState(
            servers, tuple(map(float, raw["smoothed_us"])), tuple(map(float, raw["unhindered_us"]))
        )
        known = raw["known"]
        if not isinstance(known, dict):
            raise ValueError("known is not an object")
        classes = tuple(str(name).encode("latin-1") for name in raw.get("classes", ()))
        return Snapshot(float(raw["taken_unix_s"]), learned, known, classes)
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        raise ValueError(f"payload does not parse: {error!r:.80}") from None


def unusable_reason(snapshot: Snapshot, now_unix_s: float, max_age_s: float) -> str | None:
    """Why a sound snapshot is still not to be used, or None: too old, or from the future."""
    age_s = now_unix_s - snapshot.taken_unix_s
    if age_s > max_age_s:
        return f"taken {age_s:.1f} s ago, over the bound of {max_age_s:g} s"
    if age_s < -MAX_CLOCK_SKEW_S:
        return f"taken {-age_s:.1f} s from now"
    return None
