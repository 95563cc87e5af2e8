"""One run of a compiled transform: the steps it has left, the headers it works on, the functions of text.

All text is bytes, as on the wire. Text and walks are paid before the work, and a step makes no more than
`TEXT_STEP` bytes, so that the steps bound the memory too. What costs one step is only counted; whether any
are left is looked at with the next payment, at each call of a function and at the end: nothing else repeats.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverkeel.transforms.protocol import Head, OverBudgetError

MAX_TEXT_BYTES = 8 * 1024  # bytes of one value
TEXT_BYTES_PER_STEP = 64  # bytes that one step reads or makes
HEADERS_PER_STEP = 8  # headers that one step walks


class FailedError(Exception):
    """The transform said `fail`, or would make a text that is too long."""


class Run:
    __slots__ = ("caller", "headers", "klass", "path", "steps_left", "value")

    def __init__(self, head: Head, steps: int) -> None:
        self.steps_left = steps
        self.headers = [(name.lower(), name, value) for name, value in head.headers]
        self.klass, self.caller, self.path = head.klass, head.caller, head.path
        self.value = b""  # of the header that `rewrite` is at

    def spend(self, steps: int) -> None:
        self.steps_left -= steps
        if self.steps_left < 0:
            raise OverBudgetError

    def spend_header_scan(self) -> None:
        """Pay for one walk over the headers."""
        self.steps_left -= 1 + len(self.headers) // HEADERS_PER_STEP
        if self.steps_left < 0:
            raise OverBudgetError

    def first(self, name: bytes) -> bytes | None:
        self.spend_header_scan()
        for lower, _, value in self.headers:
            if lower == name:
                return value
        return None

    def remove(self, name: bytes) -> None:
        self.spend_header_scan()
        self.headers = [entry for entry in self.headers if entry[0] != name]

    def add(self, name: bytes, value: bytes) -> None:
        self.spend(1)
        self.headers.append((name, name, value))

    def set(self, name: bytes, value: bytes) -> None:
        """In the first one's place and spelling, where there is one."""
        self.spend_header_scan()
        changed, is_first = [], True
        for entry in self.headers:
            if entry[0] != name:
                changed.append(entry)
            elif is_first:
                changed.append((name, entry[1], value))
                is_first = False
        if is_first:
            changed.append((name, name, value))
        self.headers = changed

    def rename(self, old: bytes, new: bytes) -> None:
        self.spend_header_scan()
        self.headers = [(new, new, entry[2]) if entry[0] == old else entry for entry in self.headers]

    def rewrite(self, name: bytes, value_of: Callable[[], bytes]) -> None:
        self.spend_header_scan()
        for place, (lower, spelled, value) in enumerate(self.headers):
            if lower == name:
                self.spend(1)
                self.value = value
                self.headers[place] = (lower, spelled, value_of())


def check_text_size(run: Run, size: int) -> None:
    """Before a text is made."""
    if size > MAX_TEXT_BYTES:
        raise FailedError(f"a text over {MAX_TEXT_BYTES} bytes")
    if size >= TEXT_BYTES_PER_STEP:
        run.spend(size // TEXT_BYTES_PER_STEP)


def join_texts(run: Run, parts: list[bytes]) -> bytes:
    check_text_size(run, sum(map(len, parts)))
    return b"".join(parts)


def replace_text(run: Run, text: bytes, old: bytes, new: bytes) -> bytes:
    """`old` is not empty where it is found: an empty one is found nowhere."""
    run.spend((len(text) + len(old) + len(new)) // TEXT_BYTES_PER_STEP)
    found = text.count(old) if old else 0
    if not found:
        return text
    check_text_size(run, len(text) + found * (len(new) - len(old)))
    return text.replace(old, new)


def two_text_function(function: Callable[[bytes, bytes], object]) -> Callable[..., object]:
    """A function of two texts that makes none longer than the first, paid by their lengths."""

    def paid(run: Run, a: bytes, b: bytes) -> object:
        if len(a) + len(b) >= TEXT_BYTES_PER_STEP:
            run.spend((len(a) + len(b)) // TEXT_BYTES_PER_STEP)
        return function(a, b)

    return paid


def one_text_function(function: Callable[[bytes], bytes]) -> Callable[..., object]:
    def paid(run: Run, text: bytes) -> object:
        if len(text) >= TEXT_BYTES_PER_STEP:
            run.spend(len(text) // TEXT_BYTES_PER_STEP)
        return function(text)

    return paid


# Name to function of the run and texts, how many texts, and whether it makes a truth.
FUNCTIONS: dict[str, tuple[Callable[..., object], int, bool]] = {
    "lower": (one_text_function(bytes.lower), 1, False),
    "upper": (one_text_function(bytes.upper), 1, False),
    "trim": (one_text_function(bytes.strip), 1, False),
    "starts_with": (two_text_function(bytes.startswith), 2, True),
    "ends_with": (two_text_function(bytes.endswith), 2, True),
    "contains": (two_text_function(lambda a, b: b in a), 2, True),
    "before": (two_text_function(lambda a, b: a.partition(b)[0] if b else a), 2, False),
    "after": (two_text_function(lambda a, b: a.partition(b)[2] if b else b""), 2, False),
    "replace": (replace_text, 3, False),
}
