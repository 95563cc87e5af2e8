"""Runs one transform on one head: the head that leaves differs from the one that came in `writes` alone.

What leaves is put together here, from the headers that the transform may not write as they came and from what
it made of the others, so that nothing else can change.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from itertools import chain

from cloverkeel.http1 import HEAD_LIMIT, Header
from cloverkeel.transforms.protocol import (
    FORBIDDEN_WRITES,
    HEADER_NAME,
    Failure,
    Head,
    OverBudgetError,
    Transform,
)

HEADER_VALUE = re.compile(rb"[^\x00-\x08\x0a-\x1f\x7f]*")


def run(transform: Transform, head: Head) -> Head | Failure:
    """The head changed, `head` itself where nothing changed, or why the run failed; raises nothing."""
    manifest = transform.manifest
    visible, writes = manifest.visible, manifest.writes
    kept: list[Header] = []
    seen: list[Header] = []
    before: list[Header] = []
    for pair in head.headers:
        name = pair[0].lower()
        if name not in visible:
            kept.append(pair)
            continue
        seen.append(pair)
        (before if name in writes else kept).append(pair)
    try:
        shown = Head(tuple(seen), head.klass, head.caller, head.path)
        written = [(name, value) for name, value in transform.apply(shown)]
        if written == before:
            return head
        fault = output_fault(written, set(before), writes)
    except OverBudgetError:
        return Failure("over budget", f"more than {manifest.steps} steps")
    except Exception as error:
        return Failure("raised", f"{type(error).__name__}: {error}"[:200])
    kept += written
    if fault is None and sum(map(len, chain.from_iterable(kept))) > HEAD_LIMIT:
        fault = "the head is too long"
    if fault is not None:
        return Failure("bad output", fault)
    return Head(tuple(kept), head.klass, head.caller, head.path)


def output_fault(written: Sequence[Header], before: set[Header], writes: frozenset[bytes]) -> str | None:
    """What is wrong with the headers that a transform wrote, or None. One that came so may stay so."""
    for pair in written:
        if pair in before:
            continue
        name, value = pair
        if type(name) is not bytes or type(value) is not bytes:
            return "a header is two bytes objects"
        if name not in writes:  # else it is a name, in lower case
            if not HEADER_NAME.fullmatch(name):
                return f"{name!r:.80} is no header's name"
            if name.lower() not in writes:
                return f"{name.decode()} is not in writes"
        if not HEADER_VALUE.fullmatch(value):
            return f"{name.decode()} would hold a control character"
    return None


def differs_only_in(writes: frozenset[bytes], came: Sequence[Header], leaves: Sequence[Header]) -> bool:
    """Whether two heads are the same, in order, but for what is in `writes` and not forbidden."""
    free = writes - FORBIDDEN_WRITES
    return [h for h in came if h[0].lower() not in free] == [h for h in leaves if h[0].lower() not in free]
