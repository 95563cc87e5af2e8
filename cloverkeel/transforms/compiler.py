"""Compiles a parsed source into closures, one per statement, and runs its golden cases."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, cast

import lark

from cloverkeel.http1 import Header
from cloverkeel.transforms import guard
from cloverkeel.transforms.expressions import ExpressionCompiler
from cloverkeel.transforms.protocol import Failure, Head, OverBudgetError
from cloverkeel.transforms.runtime import FailedError, Run
from cloverkeel.transforms.source import (
    Case,
    Fault,
    Source,
    SourceError,
    header_name,
    token_position,
    token_text,
)

if TYPE_CHECKING:
    from cloverkeel.transforms.source import Tree

CompiledStatement = Callable[[Run], None]


class Compiled:
    """A compiled transform, which implements `protocol.Transform`. Immutable; runs share no state."""

    __slots__ = ("_statements", "cases", "manifest", "sha256")

    def __init__(self, source: Source, statements: list[CompiledStatement]) -> None:
        self.manifest, self.sha256, self.cases = source.manifest, source.sha256, source.cases
        self._statements = statements

    def apply(self, head: Head) -> list[Header]:
        """See `protocol.Transform.apply`. Raises OverBudgetError or FailedError."""
        run = Run(head, self.manifest.steps)
        for statement in self._statements:
            statement(run)
        if run.steps_left < 0:
            raise OverBudgetError
        writes = self.manifest.writes
        return [(name, value) for lower, name, value in run.headers if lower in writes]

    def run(self, head: Head) -> Head | Failure:
        """Returns the changed head, `head` itself if nothing changed, or a Failure. Never raises."""
        return guard.run(self, head)


def compile(source: Source) -> Compiled:
    """Checks and compiles a parsed source. Raises SourceError with all faults found."""
    compiler = _StatementCompiler(source)
    statements = compiler.block(source.statements)
    faults = compiler.expressions.faults
    if faults:
        raise SourceError(faults)
    return Compiled(source, statements)


def failed_cases(compiled: Compiled) -> list[Fault]:
    """Returns the golden cases that fail. The order of headers counts only among headers of the same name."""
    faults = []
    for case in compiled.cases:
        result = compiled.run(case.input_head)
        if isinstance(result, Failure):
            problem = (
                None if case.expected_headers is None else f"the run failed, {result.kind}: {result.reason}"
            )
        elif case.expected_headers is None:
            problem = "the run should fail"
        else:
            problem = _difference(case, result)
        if problem is not None:
            faults.append(Fault(case.line, case.column, f'case "{case.title}": {problem}'))
    return faults


def _difference(case: Case, result: Head) -> str | None:
    """Expected headers that are missing ("- ") and unexpected ones ("+ "); None if there is no difference."""

    def sorted_by_name(headers: tuple[Header, ...]) -> list[Header]:
        return sorted(((name.lower(), value) for name, value in headers), key=lambda pair: pair[0])

    expected, actual = sorted_by_name(case.expected_headers or ()), sorted_by_name(result.headers)
    if expected == actual:
        return None
    lines = [f"{sign}{(name + b': ' + value).decode('latin-1')}"
             for sign, these, others in (("- ", expected, actual), ("+ ", actual, expected))
             for name, value in these if (name, value) not in others]  # fmt: skip
    return "; ".join(lines) or "the same headers in another order or number"


class _StatementCompiler:
    """Compiles statements; `block` finds the method `_<rule>` for each grammar rule. Faults are collected in
    `expressions.faults`."""

    def __init__(self, source: Source) -> None:
        self.manifest = source.manifest
        self.expressions = ExpressionCompiler(source.manifest)
        for function in source.functions:
            self.expressions.define_function(function)

    def block(self, statements: tuple[Tree, ...]) -> list[CompiledStatement]:
        """Compiles a sequence of statements."""
        compiled: list[CompiledStatement] = []
        for statement in statements:
            make: Callable[[list[lark.Token | Tree]], CompiledStatement] = getattr(self, f"_{statement.data}")
            compiled.append(make(statement.children))
        return compiled

    def writable_name(self, child: lark.Token | Tree) -> bytes:
        """The header name of a token, which has to be in `writes`."""
        return self._declared_name(cast(lark.Token, child), self.manifest.writes, "writes")

    def readable_name(self, child: lark.Token | Tree) -> bytes:
        """The header name of a token, which has to be in `reads`."""
        return self._declared_name(cast(lark.Token, child), self.manifest.reads, "reads")

    def _declared_name(self, token: lark.Token, names: frozenset[bytes], manifest_key: str) -> bytes:
        name = header_name(token, self.expressions.faults)
        if name not in names:
            self.expressions.faults.append(Fault(*token_position(token), f"{token} is not in {manifest_key}"))
        return name

    def _set(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        name, value = self.writable_name(parts[0]), self.expressions.compile_text(cast("Tree", parts[1]))
        return lambda run: run.set(name, value(run, ()))

    def _add(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        name, value = self.writable_name(parts[0]), self.expressions.compile_text(cast("Tree", parts[1]))
        return lambda run: run.add(name, value(run, ()))

    def _remove(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        name = self.writable_name(parts[0])
        return lambda run: run.remove(name)

    def _rename(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        old, new = self.writable_name(parts[0]), self.writable_name(parts[1])
        self.readable_name(parts[0])
        return lambda run: run.rename(old, new)

    def _rewrite(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        name = self.writable_name(parts[0])
        self.readable_name(parts[0])
        self.expressions.has_value = True
        value = self.expressions.compile_text(cast("Tree", parts[1]))
        self.expressions.has_value = False
        return lambda run: run.rewrite(name, lambda: cast(bytes, value(run, ())))

    def _when(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        condition, *blocks = cast("list[Tree]", parts)
        holds = self.expressions.compile_boolean(condition)
        then, otherwise, *_ = [
            self.block(cast("tuple[Tree, ...]", tuple(block.children))) for block in blocks
        ] + [[]]

        def when(run: Run) -> None:
            run.spend(1)
            for statement in then if holds(run, ()) else otherwise:
                statement(run)

        return when

    def _fail(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        reason = token_text(cast(lark.Token, parts[0]), self.expressions.faults)

        def fail(run: Run) -> None:
            raise FailedError(reason)

        return fail
