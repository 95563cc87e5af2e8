"""From a parsed source to something that runs: each statement a closure, faults with their place."""

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
    """A transform that can run, a `protocol.Transform`. Immutable; runs share nothing."""

    __slots__ = ("_statements", "cases", "manifest", "sha256")

    def __init__(self, source: Source, steps: list[CompiledStatement]) -> None:
        self.manifest, self.sha256, self.cases = source.manifest, source.sha256, source.cases
        self._statements = steps

    def apply(self, head: Head) -> list[Header]:
        """As `protocol.Transform` has it; raises OverBudgetError or FailedError."""
        run = Run(head, self.manifest.steps)
        for step in self._statements:
            step(run)
        if run.steps_left < 0:
            raise OverBudgetError
        writes = self.manifest.writes
        return [(name, value) for lower, name, value in run.headers if lower in writes]

    def run(self, head: Head) -> Head | Failure:
        """The head changed (`head` itself where nothing did), or why not; raises nothing."""
        return guard.run(self, head)


def compile(source: Source) -> Compiled:
    """Raises SourceError."""
    statements = _StatementCompiler(source)
    steps = statements.block(source.statements)
    faults = statements.expressions.faults
    if faults:
        raise SourceError(faults)
    return Compiled(source, steps)


def failed_cases(compiled: Compiled) -> list[Fault]:
    """The golden cases that do not hold. Headers are compared by name; the order within one counts."""
    faults = []
    for case in compiled.cases:
        left = compiled.run(case.input_head)
        if isinstance(left, Failure):
            wrong = None if case.expected_headers is None else f"the run failed, {left.kind}: {left.reason}"
        elif case.expected_headers is None:
            wrong = "the run should fail"
        else:
            wrong = _difference(case, left)
        if wrong is not None:
            faults.append(Fault(case.line, case.column, f'case "{case.title}": {wrong}'))
    return faults


def _difference(case: Case, left: Head) -> str | None:
    def in_order(headers: tuple[Header, ...]) -> list[Header]:
        return sorted(((name.lower(), value) for name, value in headers), key=lambda pair: pair[0])

    wanted, got = in_order(case.expected_headers or ()), in_order(left.headers)
    if wanted == got:
        return None
    lines = [f"{sign}{(name + b': ' + value).decode('latin-1')}"
             for sign, these, others in (("- ", wanted, got), ("+ ", got, wanted))
             for name, value in these if (name, value) not in others]  # fmt: skip
    return "; ".join(lines) or "the same headers in another order or number"


class _StatementCompiler:
    def __init__(self, source: Source) -> None:
        self.manifest = source.manifest
        self.expressions = ExpressionCompiler(source.manifest)
        for function in source.functions:
            self.expressions.define_function(function)

    def block(self, statements: tuple[Tree, ...]) -> list[CompiledStatement]:
        steps: list[CompiledStatement] = []
        for statement in statements:
            make: Callable[[list[lark.Token | Tree]], CompiledStatement] = getattr(self, f"_{statement.data}")
            steps.append(make(statement.children))
        return steps

    def writable_name(self, child: lark.Token | Tree) -> bytes:
        return self._declared_name(cast(lark.Token, child), self.manifest.writes, "writes")

    def readable_name(self, child: lark.Token | Tree) -> bytes:
        return self._declared_name(cast(lark.Token, child), self.manifest.reads, "reads")

    def _declared_name(self, token: lark.Token, names: frozenset[bytes], what: str) -> bytes:
        name = header_name(token, self.expressions.faults)
        if name not in names:
            self.expressions.faults.append(Fault(*token_position(token), f"{token} is not in {what}"))
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
        question, *blocks = cast("list[Tree]", parts)
        asked = self.expressions.compile_boolean(question)
        yes, no, *_ = [self.block(cast("tuple[Tree, ...]", tuple(block.children))) for block in blocks] + [[]]

        def when(run: Run) -> None:
            run.spend(1)
            for step in yes if asked(run, ()) else no:
                step(run)

        return when

    def _fail(self, parts: list[lark.Token | Tree]) -> CompiledStatement:
        why = token_text(cast(lark.Token, parts[0]), self.expressions.faults)

        def fail(run: Run) -> None:
            raise FailedError(why)

        return fail
