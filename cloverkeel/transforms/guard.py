"""Runs one transform on one head, and ensures that only headers in `writes` change.

The resulting head is assembled here, from the unchanged headers that the transform may not write and from its
output, so that a transform cannot change anything else.
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
    """Returns the changed head, `head` itself if nothing changed, or a Failure. Never raises."""
    manifest = transform.manifest
    visible, writes = manifest.visible, manifest.writes
    result: list[Header] = []
    visible_headers: list[Header] = []
    writable_before: list[Header] = []
    for pair in head.headers:
        name = pair[0].lower()
        if name not in visible:
            result.append(pair)
            continue
        visible_headers.append(pair)
        (writable_before if name in writes else result).append(pair)
    try:
        visible_head = Head(tuple(visible_headers), head.klass, head.caller, head.path)
        written = [(name, value) for name, value in transform.apply(visible_head)]
        if written == writable_before:
            return head
        fault = output_fault(written, set(writable_before), writes)
    except OverBudgetError:
        return Failure("over budget", f"more than {manifest.steps} steps")
    except Exception as error:
        return Failure("raised", f"{type(error).__name__}: {error}"[:200])
    result += written
    if fault is None and sum(map(len, chain.from_iterable(result))) > HEAD_LIMIT:
        fault = "the head is too long"
    if fault is not None:
        return Failure("bad output", fault)
    return Head(tuple(result), head.klass, head.caller, head.path)


def output_fault(
    written: Sequence[Header], writable_before: set[Header], writes: frozenset[bytes]
) -> str | None:
    """Returns what is invalid in the headers that a transform wrote, or None. A header that it left as it
    came is not checked."""
    for pair in written:
        if pair in writable_before:
            continue
        name, value = pair
        if type(name) is not bytes or type(value) is not bytes:
            return "a header must be two bytes objects"
        if name not in writes:  # names in `writes` are valid and in lower case
            if not HEADER_NAME.fullmatch(name):
                return f"{name!r:.80} is not a valid header name"
            if name.lower() not in writes:
                return f"{name.decode()} is not in writes"
        if not HEADER_VALUE.fullmatch(value):
            return f"{name.decode()} has a control character in its value"
    return None


def differs_only_in(writes: frozenset[bytes], before: Sequence[Header], after: Sequence[Header]) -> bool:
    """Whether two heads have the same headers in the same order, apart from those in `writes` that a
    transform may write."""
    writable = writes - FORBIDDEN_WRITES
    return [h for h in before if h[0].lower() not in writable] == [
        h for h in after if h[0].lower() not in writable
    ]
