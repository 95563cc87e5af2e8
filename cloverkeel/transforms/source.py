"""Parses a transform's source file into manifest, syntax tree and golden cases; each fault has line and
column."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import lark
from lark.exceptions import UnexpectedEOF, UnexpectedInput, UnexpectedToken

from cloverkeel.http1 import Header
from cloverkeel.transforms.grammar import GRAMMAR
from cloverkeel.transforms.protocol import (
    DEFAULT_STEPS,
    FORBIDDEN_WRITES,
    HEADER_NAME,
    MAX_STEPS,
    Head,
    Manifest,
)

if TYPE_CHECKING:
    Tree = lark.Tree[lark.Token]

MAX_SOURCE_BYTES = 32 * 1024
MAX_NESTING = 64  # levels of the syntax tree, function calls included


@dataclass(slots=True, frozen=True, order=True)
class Fault:
    """An error in a source file. Line and column count from 1, the column in characters."""

    line: int
    column: int
    reason: str

    def __str__(self) -> str:
        return f"{self.line}:{self.column}: {self.reason}"


class SourceError(ValueError):
    """The file is not a valid transform; `faults` lists the errors in the order of the file."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(set(faults))
        super().__init__("; ".join(map(str, self.faults)))


@dataclass(slots=True, frozen=True)
class Case:
    """A golden case: an input head and the headers expected after the run (None: the run must fail)."""

    title: str
    line: int
    column: int
    input_head: Head
    expected_headers: tuple[Header, ...] | None


@dataclass(slots=True, frozen=True, eq=False)
class Source:
    """A parsed source file. `functions` and `statements` are syntax trees, still unchecked."""

    manifest: Manifest
    sha256: str
    functions: tuple[Tree, ...]
    statements: tuple[Tree, ...]
    cases: tuple[Case, ...]


def parse(data: bytes) -> Source:
    """Parses a source file. Raises SourceError; types, and headers not in `reads` or `writes`, are checked
    only by `compiler.compile`."""
    if len(data) > MAX_SOURCE_BYTES:
        raise SourceError([Fault(1, 1, f"the file is longer than {MAX_SOURCE_BYTES} bytes")])
    try:
        text = data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start].decode()
        position = before.count("\n") + 1, len(before) - before.rfind("\n")
        raise SourceError([Fault(*position, "the file is not UTF-8")]) from None
    try:
        tree = parser().parse(text)
    except UnexpectedInput as error:
        raise SourceError([_syntax_fault(error, text)]) from None
    _check_nesting(tree)
    builder = _Builder()
    source = builder.source(tree, hashlib.sha256(data).hexdigest())
    if builder.faults:
        raise SourceError(builder.faults)
    return source


@functools.cache
def parser() -> lark.Lark:
    """The parser of the grammar, built at the first use."""
    return lark.Lark(GRAMMAR, parser="lalr", propagate_positions=True, maybe_placeholders=False)


def _syntax_fault(error: UnexpectedInput, text: str) -> Fault:
    """Describes a syntax error: the unexpected word, and up to 12 tokens that were expected."""
    expected: set[str] = set(getattr(error, "accepts", None) or getattr(error, "expected", None) or ())
    expected |= set(getattr(error, "allowed", None) or ())
    wanted = ", ".join(sorted(name.strip("_").lower() for name in expected)[:12])
    if isinstance(error, UnexpectedEOF) or (
        isinstance(error, UnexpectedToken) and error.token.type == "$END"
    ):
        return Fault(
            text.count("\n") + 1, len(text) - text.rfind("\n"), f"unexpected end of file; expected {wanted}"
        )
    word = text[error.pos_in_stream or 0 :].split(maxsplit=1)[:1]
    return Fault(error.line, error.column, f"unexpected {(word or [''])[0]!r:.40}; expected {wanted}")


def _check_nesting(tree: Tree) -> None:
    """Raises SourceError if the tree is too deep to be walked recursively. Iterates, for the same reason."""
    depths: dict[int, int] = {}
    for node in tree.iter_subtrees():  # children first
        below = [depths[id(child)] for child in node.children if isinstance(child, lark.Tree)]
        depths[id(node)] = depth = 1 + max(below, default=0)
        if depth > MAX_NESTING:
            raise SourceError(
                [Fault(node.meta.line, node.meta.column, f"nested deeper than {MAX_NESTING} levels")]
            )


def token_text(token: lark.Token, faults: list[Fault]) -> str:
    """The text of a token: a quoted string without quotes and escapes, or a bare word. Appends to
    `faults`."""
    if token.type != "STRING":
        return str(token)
    out, rest = [], iter(token[1:-1])
    for index, c in enumerate(rest):
        if c == "\\":
            c = next(rest)
            if c not in '"\\':
                faults.append(
                    Fault(
                        token_position(token)[0],
                        token_position(token)[1],
                        f'\\{c}: only \\" and \\\\ are escapes',
                    )
                )
        elif not (" " <= c <= "~" or c == "\t"):
            reason = f"character {index + 1} of this string is not printable ASCII"
            faults.append(Fault(token_position(token)[0], token_position(token)[1], reason))
        out.append(c)
    return "".join(out)


def token_position(token: lark.Token) -> tuple[int, int]:
    """Line and column of a token, as a Fault has them."""
    return token.line or 0, token.column or 0


class _Builder:
    """Builds the manifest and the golden cases from the tree; `faults` collects errors."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []

    def add_fault(self, token: lark.Token, reason: str) -> None:
        self.faults.append(Fault(*token_position(token), reason))

    def source(self, tree: Tree, sha256: str) -> Source:
        parts = {part.data: cast("Tree", part) for part in tree.children if isinstance(part, lark.Tree)}
        manifest = self.manifest(parts["manifest"])
        cases = tuple(self.case(cast("Tree", case)) for case in parts["cases"].children)
        functions = cast("tuple[Tree, ...]", tuple(parts["functions"].children))
        return Source(
            manifest, sha256, functions, cast("tuple[Tree, ...]", tuple(parts["statements"].children)), cases
        )

    def manifest(self, tree: Tree) -> Manifest:
        name_token = cast(lark.Token, tree.children[0])
        fields: dict[str, Any] = {"name": self.name(name_token)}
        parse_field: dict[str, Callable[[list[lark.Token]], Any]] = {
            "owner": lambda tokens: self.name(tokens[0]),
            "phase": lambda tokens: self.one_of(tokens[0], "request", "response"),
            "classes": self.values, "callers": self.values,
            "path_prefix": lambda tokens: token_text(tokens[0], self.faults).encode("ascii", "replace"),
            "reads": self.header_names, "writes": self.writable_headers, "steps": self.steps,
            "on_error": lambda tokens: self.one_of(tokens[0], "skip", "refuse"),
        }  # fmt: skip
        for entry in cast("list[Tree]", tree.children[1:]):
            tokens, key = cast("list[lark.Token]", entry.children), str(entry.data)
            if key in fields:
                self.add_fault(tokens[0], f"{key} is given twice")
            fields[key] = parse_field[key](tokens)
        for key in ("owner", "phase"):
            if key not in fields:
                self.add_fault(name_token, f"no {key} is given")
        return Manifest(**({"owner": "", "phase": "request"} | fields))

    def name(self, token: lark.Token) -> str:
        name = token_text(token, self.faults)
        if not 1 <= len(name) <= 128:
            self.add_fault(token, "a name must have 1 to 128 characters")
        return name

    def one_of(self, token: lark.Token, *words: str) -> str:
        if token not in words:
            self.add_fault(token, f"must be {' or '.join(words)}")
        return str(token)

    def values(self, tokens: list[lark.Token]) -> frozenset[bytes]:
        return frozenset(token_text(token, self.faults).encode("ascii", "replace") for token in tokens)

    def header_names(self, tokens: list[lark.Token]) -> frozenset[bytes]:
        return frozenset(header_name(token, self.faults) for token in tokens)

    def writable_headers(self, tokens: list[lark.Token]) -> frozenset[bytes]:
        names = [header_name(token, self.faults) for token in tokens]
        for token, name in zip(tokens, names, strict=True):
            if name in FORBIDDEN_WRITES:
                self.add_fault(token, f"{token} cannot be written by a transform")
        return frozenset(
            name for name in names if name not in FORBIDDEN_WRITES and HEADER_NAME.fullmatch(name)
        )

    def steps(self, tokens: list[lark.Token]) -> int:
        steps = int(tokens[0])
        if not 1 <= steps <= MAX_STEPS:
            self.add_fault(tokens[0], f"steps must be 1 to {MAX_STEPS}")
        return steps or DEFAULT_STEPS

    def case(self, tree: Tree) -> Case:
        title = cast(lark.Token, tree.children[0])
        facts = {"klass": b"", "caller": b"", "path": b""}
        input_headers: list[Header] = []
        expected_headers: list[Header] = []
        fails = False
        for part in cast("list[Tree]", tree.children[1:]):
            key = str(part.data)
            fails = fails or key == "fails"
            if key in ("came", "leaves"):
                (input_headers if key == "came" else expected_headers).append(
                    self.header_line(cast(lark.Token, part.children[0]))
                )
            elif key in facts:
                facts[key] = token_text(cast(lark.Token, part.children[0]), self.faults).encode(
                    "ascii", "replace"
                )
        if fails and expected_headers:
            self.add_fault(title, "a case with fails cannot have out")
        head = Head(tuple(input_headers), facts["klass"], facts["caller"], facts["path"])
        return Case(
            token_text(title, self.faults),
            *token_position(title),
            head,
            None if fails else tuple(expected_headers),
        )

    def header_line(self, token: lark.Token) -> Header:
        name, colon, value = token_text(token, self.faults).encode("ascii", "replace").partition(b":")
        if not colon or not HEADER_NAME.fullmatch(name):
            self.add_fault(token, "not of the form name: value")
        return name, value.strip(b" \t")


def header_name(token: lark.Token, faults: list[Fault]) -> bytes:
    """The header name of a token, in lower case; an invalid name is added to `faults`."""
    name = token_text(token, faults).lower().encode("ascii", "replace")
    if not HEADER_NAME.fullmatch(name):
        faults.append(Fault(*token_position(token), f"{token} is not a valid header name"))
    return name
