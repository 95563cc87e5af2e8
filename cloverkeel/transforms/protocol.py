"""What a transform is to the gateway: a manifest, and a function of the headers that it may see."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal, NamedTuple, Protocol

from cloverkeel.http1 import HOP_BY_HOP, Header

ENTRY_POINT_GROUP = "firledge.transforms"  # the entry points of transforms that ship with the program
DEFAULT_STEPS = 1_000
MAX_STEPS = 10_000
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")  # a token (RFC 9110, 5.6.2)
FORBIDDEN_WRITES = HOP_BY_HOP | {
    b"x-call-id", b"idempotency-key", b"x-budget-ms", b"host", b"x-load-report", b"x-rejected",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Manifest:
    """Header names in lower case. Empty `classes` or `callers`: all; `steps` as docs/transforms.md counts.

    Raises ValueError where `writes` has what no transform may write, or no name in lower case.
    """

    name: str
    owner: str
    phase: Literal["request", "response"]
    classes: frozenset[bytes] = frozenset()
    callers: frozenset[bytes] = frozenset()
    path_prefix: bytes = b""
    reads: frozenset[bytes] = frozenset()
    writes: frozenset[bytes] = frozenset()
    steps: int = DEFAULT_STEPS
    on_error: Literal["skip", "refuse"] = "skip"
    visible: frozenset[bytes] = field(init=False)  # what it is handed

    def __post_init__(self) -> None:
        for name in self.writes:
            if name in FORBIDDEN_WRITES or name != name.lower() or not HEADER_NAME.fullmatch(name):
                raise ValueError(f"{self.name} cannot write {name!r:.80}")
        object.__setattr__(self, "visible", self.reads | self.writes)

    def applies(self, klass: bytes, caller: bytes, path: bytes) -> bool:
        return (
            (not self.classes or klass in self.classes)
            and (not self.callers or caller in self.callers)
            and path.startswith(self.path_prefix)
        )


class Head(NamedTuple):
    """A head's end-to-end headers in order, and the call that it belongs to; `path` without its query."""

    headers: tuple[Header, ...]
    klass: bytes = b""
    caller: bytes = b""
    path: bytes = b""


@dataclass(slots=True, frozen=True)
class Failure:
    """A run that came to nothing: the head is as it came."""

    kind: Literal["raised", "over budget", "bad output"]
    reason: str


class OverBudgetError(Exception):
    """The run used up its manifest's steps."""


class Transform(Protocol):
    """Of shipped code, registered as an entry point of `GROUP` (an object, not a factory), or of a source."""

    @property
    def manifest(self) -> Manifest: ...

    @property
    def sha256(self) -> str:
        """Hexadecimal: what version this is."""
        ...

    def apply(self, head: Head) -> Sequence[Header]:
        """What becomes of the headers in `writes`, in order; `head` holds those in `reads` and `writes`.

        Whatever it raises is a failed run.
        """
        ...
