"""Orders and progress as the ledger keeps them: typed, bounded on the way in."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

ORDER, PROGRESS = "rollout.order", "rollout.progress"
PROGRESS_KEY = "servers"
OUTCOMES_KEPT = 32  # orders that are gone whose outcome the progress still tells
Name = Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9._-]{0,63}$")]
Text = Annotated[str, msgspec.Meta(max_length=500)]
Part = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Parts = Annotated[tuple[Part, ...], msgspec.Meta(max_length=256)]
Verb = Literal["start", "pause", "resume", "abort", "undo"]
State = Literal["none", "baking", "paused", "rolling-back", "rolled-back", "done"]


class Selector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hosts by what the list says of them, as the targets of routes: one of each kind that is named."""

    types: Parts = ()
    groups: Parts = ()
    zones: Parts = ()
    labels: Parts = ()

    def target(self) -> dict[str, tuple[str, ...]]:
        return {"types": self.types, "groups": self.groups, "zones": self.zones, "labels": self.labels}


class Rules(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When a stage passes or fails; shares in 0 to 1."""

    least: Annotated[int, msgspec.Meta(ge=1, le=1_000_000)] = 50  # attempts on each side
    failed_points: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.02  # failed share above the base's
    latency_ratio: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.5  # of the 95th percentiles
    latency_ms: Annotated[float, msgspec.Meta(ge=0, le=60_000)] = 10.0  # and longer by this much


class Spec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A rollout: the new set's share rises by `steps` (percent), each baked for `bake_s`."""

    name: Name
    hosts: Selector
    steps: Annotated[tuple[Annotated[float, msgspec.Meta(gt=0, le=100)], ...], msgspec.Meta(min_length=1)]
    bake_s: Annotated[float, msgspec.Meta(ge=0.5, le=86_400)] = 60.0
    rules: Rules = Rules()

    def __post_init__(self) -> None:
        if self.hosts == Selector():
            raise ValueError("a set names types, groups, zones or labels")
        if list(self.steps) != sorted(set(self.steps)) or self.steps[-1] != 100 or len(self.steps) > 100:
            raise ValueError("steps rise to 100, each once, at most 100 of them")


class Order(msgspec.Struct, frozen=True):
    """What an operator asks. `number`: one above the highest that its writer had seen; `name`: the
    rollout's; `spec`: of a start."""

    id: str
    number: int
    verb: Verb
    name: Name
    spec: Spec | None = None

    @property
    def sort_key(self) -> tuple[int, str]:
        return self.number, self.id


class Progress(msgspec.Struct, frozen=True, kw_only=True):
    """What the conductor has decided. `base`: the set before, where a rollout has replaced it; `seen`: the
    highest number of an order that was taken, `outcomes`: what became of each order that the ledger still
    holds, and of the last ones before."""

    token: int = 0
    step: int = 0
    state: State = "none"
    stage: int = 0
    spec: Spec | None = None
    base: Selector | None = None
    why: Text = ""
    seen: int = 0
    outcomes: tuple[tuple[str, Text], ...] = ()

    @property
    def version(self) -> tuple[int, int]:
        """Which of two counts."""
        return self.token, self.step

    @property
    def share(self) -> float:
        """Of the new set, in percent."""
        if self.spec is None or self.state in ("none", "rolling-back", "rolled-back"):
            return 0.0
        return 100.0 if self.state == "done" else self.spec.steps[self.stage]


Record = TypeVar("Record", Order, Progress)


def decode(payload: bytes, kind: type[Record]) -> Record:
    """Raises ValueError."""
    try:
        found: Record = msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(str(error)) from None
    if isinstance(found, Progress) and found.spec is not None and found.stage >= len(found.spec.steps):
        raise ValueError("a stage beyond the last")
    return found


def encode(body: Order | Progress) -> bytes:
    return msgspec.msgpack.encode(body)


def newest(payloads: tuple[bytes, ...]) -> Progress | None:
    """The progress that counts among those written side by side; malformed ones are passed over."""
    found: list[Progress] = []
    for payload in payloads:
        try:
            found.append(decode(payload, Progress))
        except ValueError:
            continue
    return max(found, key=lambda progress: progress.version) if found else None
