"""The interface of a transform: a manifest, and a function from the headers that it may see to those it
writes."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Literal, NamedTuple, Protocol

from cloverkeel.http1 import HOP_BY_HOP, Header

ENTRY_POINT_GROUP = "firledge.transforms"  # entry points of transforms that ship with the program
DEFAULT_STEPS = 1_000  # budget of one run
MAX_STEPS = 10_000  # largest budget that a manifest may ask for
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,256}")  # a token (RFC 9110, 5.6.2)
# Headers that no transform may write: they frame the message, or the gateway itself relies on them.
FORBIDDEN_WRITES = HOP_BY_HOP | {
    b"x-call-id", b"idempotency-key", b"x-budget-ms", b"host", b"x-load-report", b"x-rejected",
}  # fmt: skip


@dataclass(slots=True, frozen=True)
class Manifest:
    """What a transform declares about itself: where it applies, what it reads and writes, and its budget.

    Header names are in lower case. Empty `classes` or `callers` match all; `steps` is the budget of one run,
    counted as in docs/transforms.md. Raises ValueError if `writes` has a header that no transform may write,
    or a name that is invalid or not in lower case.
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
    visible: frozenset[bytes] = field(init=False)  # headers that `apply` receives: reads and writes

    def __post_init__(self) -> None:
        for name in self.writes:
            if name in FORBIDDEN_WRITES or name != name.lower() or not HEADER_NAME.fullmatch(name):
                raise ValueError(f"{self.name} cannot write {name!r:.80}")
        object.__setattr__(self, "visible", self.reads | self.writes)

    def applies(self, klass: bytes, caller: bytes, path: bytes) -> bool:
        """Whether the transform runs on calls of this class, caller and path."""
        return (
            (not self.classes or klass in self.classes)
            and (not self.callers or caller in self.callers)
            and path.startswith(self.path_prefix)
        )


class Head(NamedTuple):
    """The end-to-end headers of a request or response, in order, with the class, caller and path of its call.
    `path` has no query."""

    headers: tuple[Header, ...]
    klass: bytes = b""
    caller: bytes = b""
    path: bytes = b""


@dataclass(slots=True, frozen=True)
class Failure:
    """A failed run; the head is left unchanged."""

    kind: Literal["raised", "over budget", "bad output"]
    reason: str


class OverBudgetError(Exception):
    """The run needed more steps than its manifest grants."""


class Transform(Protocol):
    """A transform: shipped code registered as an entry point of `ENTRY_POINT_GROUP` (an object, not a
    factory), or a compiled source file."""

    @property
    def manifest(self) -> Manifest: ...

    @property
    def sha256(self) -> str:
        """Identifies the version, in hexadecimal."""
        ...

    def apply(self, head: Head) -> Sequence[Header]:
        """Returns the new headers in `writes`, in order. `head` holds only the headers in `reads` and
        `writes`.

        Any exception is a failed run.
        """
        ...
