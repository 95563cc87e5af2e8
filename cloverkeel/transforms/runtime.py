"""The runtime of compiled transforms: one run's step budget and headers, and the built-in text functions.

All text is bytes, as on the wire. The cost of producing text and of scanning headers is charged before the
work, and one step produces at most `TEXT_BYTES_PER_STEP` bytes, so the budget bounds memory too. An operation
that costs one step only decrements the counter; the budget is checked at the next charge by `spend`, at each
call of a user-defined function, and at the end. That suffices because nothing else can repeat work.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverkeel.transforms.protocol import Head, OverBudgetError

MAX_TEXT_BYTES = 8 * 1024  # largest text that an expression may produce
TEXT_BYTES_PER_STEP = 64  # bytes that one step reads or produces
HEADERS_PER_STEP = 8  # headers that one step scans


class FailedError(Exception):
    """The transform executed `fail`, or would produce a text that is too long.

    The class name is part of the failure's reason, which operators see.
    """


class Run:
    """State of one run: the steps left, the working copy of the headers, and the call's attributes."""

    __slots__ = ("caller", "headers", "klass", "path", "steps_left", "value")

    def __init__(self, head: Head, steps: int) -> None:
        self.steps_left = steps
        self.headers = [(name.lower(), name, value) for name, value in head.headers]
        self.klass, self.caller, self.path = head.klass, head.caller, head.path
        self.value = b""  # of the header that `rewrite` is changing

    def spend(self, steps: int) -> None:
        """Charges steps; raises OverBudgetError if fewer are left."""
        self.steps_left -= steps
        if self.steps_left < 0:
            raise OverBudgetError

    def spend_header_scan(self) -> None:
        """Charges for one scan of the headers."""
        self.steps_left -= 1 + len(self.headers) // HEADERS_PER_STEP
        if self.steps_left < 0:
            raise OverBudgetError

    def first(self, name: bytes) -> bytes | None:
        """The value of the first header of this name."""
        self.spend_header_scan()
        for lower, _, value in self.headers:
            if lower == name:
                return value
        return None

    def remove(self, name: bytes) -> None:
        """Removes all headers of this name."""
        self.spend_header_scan()
        self.headers = [entry for entry in self.headers if entry[0] != name]

    def add(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        self.spend(1)
        self.headers.append((name, name, value))

    def set(self, name: bytes, value: bytes) -> None:
        """Replaces all headers of this name by one, with the position and spelling of the first; appends
        it if there is none."""
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
        """Renames all headers `old`, in place."""
        self.spend_header_scan()
        self.headers = [(new, new, entry[2]) if entry[0] == old else entry for entry in self.headers]

    def rewrite(self, name: bytes, value_of: Callable[[], bytes]) -> None:
        """Sets each header of this name to `value_of()`, which reads the old value from `self.value`."""
        self.spend_header_scan()
        for index, (lower, spelled, value) in enumerate(self.headers):
            if lower == name:
                self.spend(1)
                self.value = value
                self.headers[index] = (lower, spelled, value_of())


def check_text_size(run: Run, size: int) -> None:
    """Charges for a text of `size` bytes that is about to be produced; raises FailedError if it is too
    long."""
    if size > MAX_TEXT_BYTES:
        raise FailedError(f"string longer than {MAX_TEXT_BYTES} bytes")
    if size >= TEXT_BYTES_PER_STEP:
        run.spend(size // TEXT_BYTES_PER_STEP)


def join_texts(run: Run, parts: list[bytes]) -> bytes:
    """The operator `+`."""
    check_text_size(run, sum(map(len, parts)))
    return b"".join(parts)


def replace_text(run: Run, text: bytes, old: bytes, new: bytes) -> bytes:
    """The function `replace`. An empty `old` matches nowhere."""
    run.spend((len(text) + len(old) + len(new)) // TEXT_BYTES_PER_STEP)
    found = text.count(old) if old else 0
    if not found:
        return text
    check_text_size(run, len(text) + found * (len(new) - len(old)))
    return text.replace(old, new)


def two_text_function(function: Callable[[bytes, bytes], object]) -> Callable[..., object]:
    """Wraps a function of two texts whose result is never longer than the first; charges by both lengths."""

    def charged(run: Run, a: bytes, b: bytes) -> object:
        if len(a) + len(b) >= TEXT_BYTES_PER_STEP:
            run.spend((len(a) + len(b)) // TEXT_BYTES_PER_STEP)
        return function(a, b)

    return charged


def one_text_function(function: Callable[[bytes], bytes]) -> Callable[..., object]:
    """Wraps a function of one text whose result is never longer; charges by its length."""

    def charged(run: Run, text: bytes) -> object:
        if len(text) >= TEXT_BYTES_PER_STEP:
            run.spend(len(text) // TEXT_BYTES_PER_STEP)
        return function(text)

    return charged


# The language's built-in functions. Name to: function of the run and its texts, number of texts, and whether
# the result is a boolean (otherwise a text).
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
