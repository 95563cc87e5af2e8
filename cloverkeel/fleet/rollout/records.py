"""The records that the ledger keeps of a rollout: orders and progress; sizes are checked when decoding."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

ORDER, PROGRESS = "rollout.order", "rollout.progress"
PROGRESS_KEY = "servers"
OUTCOMES_KEPT = 32  # outcomes kept in the progress of orders that the ledger no longer holds
Identifier = Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9._-]{0,63}$")]
ReasonText = Annotated[str, msgspec.Meta(max_length=500)]
AttributeValue = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
AttributeValues = Annotated[tuple[AttributeValue, ...], msgspec.Meta(max_length=256)]
Verb = Literal["start", "pause", "resume", "abort", "undo"]
State = Literal["none", "baking", "paused", "rolling-back", "rolled-back", "done"]


class Selector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Selects hosts by their attributes in the host list, as targets of routes do.

    A host must match one value of each attribute that is given.
    """

    types: AttributeValues = ()
    groups: AttributeValues = ()
    zones: AttributeValues = ()
    labels: AttributeValues = ()

    def target(self) -> dict[str, tuple[str, ...]]:
        """The selector in the form of a route's target."""
        return {"types": self.types, "groups": self.groups, "zones": self.zones, "labels": self.labels}


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Conditions under which a stage passes or fails; shares are from 0 to 1."""

    least: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 50  # attempts needed, at new set and base each
    # How far the failed (or refused) share may exceed the base's.
    failed_points: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.02
    # The 95th percentile of the new set may be up to this many times the base's, ...
    latency_ratio: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.5
    # ... or longer than the base's by up to this much, whichever limit is higher.
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 10.0


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rollout: the new set's share of requests rises through `steps` (percent), each kept for `bake_s`."""

    name: Identifier
    hosts: Selector
    steps: Annotated[tuple[Annotated[float, msgspec.Meta(gt=0, le=100)], ...], msgspec.Meta(min_length=1)]
    bake_s: Annotated[float, msgspec.Meta(ge=0.5, le=86_400)] = 60.0
    rules: Rules = Rules()

    def __post_init__(self) -> None:
        if self.hosts == Selector():
            raise ValueError("hosts: a set names types, groups, zones or labels")
        if list(self.steps) != sorted(set(self.steps)) or self.steps[-1] != 100 or len(self.steps) > 100:
            raise ValueError("steps: they rise to 100, each once, at most 100 of them")


class Order(msgspec.Struct, frozen=True):
    """An operator's order to the conductor.

    `number`: one above the highest that its writer had seen; `name`: of the rollout; `spec`: only of a start.
    """

    id: str
    number: int
    verb: Verb
    name: Identifier
    spec: Spec | None = None

    @property
    def sort_key(self) -> tuple[int, str]:
        """Orders are processed in this order; the id decides between equal numbers."""
        return self.number, self.id


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """The conductor's decisions so far: a rollout's state, written at each step.

    `token` and `step`: the duty's token and the number of the step. `base`: the set before this rollout, if
    an earlier rollout has put one in place. `seen`: the highest number of a processed order. `outcomes`: the
    outcome of each order that the ledger still holds, and of the last OUTCOMES_KEPT before.
    """

    token: int = 0
    step: int = 0
    state: State = "none"
    stage: int = 0
    spec: Spec | None = None
    base: Selector | None = None
    why: ReasonText = ""
    seen: int = 0
    outcomes: tuple[tuple[str, ReasonText], ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """The higher version counts: a later conductor's token, then a later step."""
        return self.token, self.step

    @property
    def share(self) -> float:
        """The new set's share of requests, in percent."""
        if self.spec is None or self.state in ("none", "rolling-back", "rolled-back"):
            return 0.0
        return 100.0 if self.state == "done" else self.spec.steps[self.stage]


Record = TypeVar("Record", Order, Progress)


def decode(payload: bytes, record_type: type[Record]) -> Record:
    """Decodes a record; raises ValueError if it is malformed."""
    try:
        found: Record = msgspec.msgpack.decode(payload, type=record_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from None
    if isinstance(found, Progress) and found.spec is not None and found.stage >= len(found.spec.steps):
        raise ValueError("a stage beyond the last step of the spec")
    return found


def encode(record: Order | Progress) -> bytes:
    """Encodes a record as MessagePack."""
    return msgspec.msgpack.encode(record)


def newest(payloads: tuple[bytes, ...]) -> Progress | None:
    """The progress with the highest version among those written concurrently; skips malformed ones."""
    found: list[Progress] = []
    for payload in payloads:
        try:
            found.append(decode(payload, Progress))
        except ValueError:
            continue
    return max(found, key=lambda progress: progress.version) if found else None
