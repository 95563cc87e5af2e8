"""Expressions of a transform's source, checked and made closures of a run and the parameters given."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import lark

from cloverkeel.transforms.protocol import Manifest
from cloverkeel.transforms.runtime import FUNCTIONS, TEXT_BYTES_PER_STEP, Run, join_texts
from cloverkeel.transforms.source import MAX_NESTING, Fault, header_name, token_position, token_text

if TYPE_CHECKING:
    from cloverkeel.transforms.source import Tree

Closure = Callable[[Run, tuple[bytes, ...]], Any]
MAX_PARAMETERS = 8
CALL_FIELDS: dict[str, Callable[[Run], bytes]] = {
    "class": lambda run: run.klass,
    "caller": lambda run: run.caller,
    "path": lambda run: run.path,
}
RESERVED_NAMES = {*CALL_FIELDS, *FUNCTIONS, "value", "has", "header"}


@dataclass(slots=True, frozen=True)
class CompiledExpression:
    """What an expression does, whether it makes a truth (else a text), how deep it nests with its calls."""

    run: Closure
    is_boolean: bool
    depth: int


@dataclass(slots=True, frozen=True)
class UserFunction:
    parameter_count: int
    body: CompiledExpression


class ExpressionCompiler:
    """Compiles expressions one after another; `faults` collects what is wrong with them."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.faults: list[Fault] = []
        self.functions: dict[str, UserFunction] = {}
        self.parameters: list[str] = []  # of the function that is being defined
        self.has_value = False  # within `rewrite`

    def add_fault(self, token: lark.Token, reason: str) -> None:
        self.faults.append(Fault(*token_position(token), reason))

    def define_function(self, tree: Tree) -> None:
        token, parameters, body = cast("tuple[lark.Token, Tree, Tree]", tuple(tree.children))
        names = [str(name) for name in parameters.children]
        for name in cast("list[lark.Token]", [token, *parameters.children]):
            if name in RESERVED_NAMES or name in self.functions:
                self.add_fault(name, f"{name} has a meaning already")
        if len(set(names)) < len(names) or len(names) > MAX_PARAMETERS:
            self.add_fault(token, f"parameters are {MAX_PARAMETERS} at most, each with a name of its own")
        self.parameters = names
        self.functions[str(token)] = UserFunction(len(names), self.compile_expression(body))
        self.parameters = []

    def compile_text(self, tree: Tree) -> Closure:
        return self.compile_typed(tree, False).run

    def compile_boolean(self, tree: Tree) -> Closure:
        return self.compile_typed(tree, True).run

    def compile_typed(self, tree: Tree, is_truth: bool) -> CompiledExpression:
        compiled = self.compile_expression(tree)
        if compiled.is_boolean is not is_truth:
            kinds = "a text", "a truth"
            at = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*at, f"{kinds[is_truth]} is wanted here, this is {kinds[not is_truth]}"))
        return compiled

    def compile_expression(self, tree: Tree) -> CompiledExpression:
        make: Callable[[Tree], CompiledExpression] = getattr(self, f"_{tree.data}")
        compiled = make(tree)
        if compiled.depth > MAX_NESTING:
            at = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*at, f"nested deeper than {MAX_NESTING}, calls included"))
            return CompiledExpression(compiled.run, compiled.is_boolean, 0)  # said once
        return compiled

    def _text(self, tree: Tree) -> CompiledExpression:
        value = token_text(cast(lark.Token, tree.children[0]), self.faults).encode("ascii", "replace")
        cost = 1 + len(value) // TEXT_BYTES_PER_STEP

        def run(run: Run, _: tuple[bytes, ...]) -> bytes:
            run.steps_left -= cost
            return value

        return CompiledExpression(run, False, 1)

    def _name(self, tree: Tree) -> CompiledExpression:
        token = cast(lark.Token, tree.children[0])
        if token in self.parameters:
            place = self.parameters.index(token)

            def parameter(run: Run, given: tuple[bytes, ...]) -> bytes:
                run.steps_left -= 1
                return given[place]

            return CompiledExpression(parameter, False, 1)
        fact = (lambda run: run.value) if token == "value" and self.has_value else CALL_FIELDS.get(str(token))
        if fact is None:
            self.add_fault(token, f"{token} is not known here")
            return CompiledExpression(lambda run, given: b"", False, 1)

        def of_call(run: Run, _: tuple[bytes, ...]) -> bytes:
            run.steps_left -= 1
            return fact(run)

        return CompiledExpression(of_call, False, 1)

    def _call(self, tree: Tree) -> CompiledExpression:
        token = cast(lark.Token, tree.children[0])
        given = cast("list[Tree]", tree.children[1:])
        if token in ("has", "header"):
            return self._header(token, given)
        arguments = [self.compile_typed(each, False) for each in given]
        runs = [argument.run for argument in arguments]
        depth = 1 + max((argument.depth for argument in arguments), default=0)
        if token in self.functions:
            function = self.functions[str(token)]
            body = function.body.run
            self._check_arity(token, len(runs), function.parameter_count)

            def call(run: Run, outer: tuple[bytes, ...]) -> Any:
                run.spend(1)
                return body(run, tuple([argument(run, outer) for argument in runs]))

            return CompiledExpression(call, function.body.is_boolean, depth + function.body.depth)
        if token not in FUNCTIONS:
            self.add_fault(token, f"no function {token} is defined above")
            return CompiledExpression(lambda run, outer: b"", False, depth)
        work, count, is_truth = FUNCTIONS[str(token)]
        self._check_arity(token, len(runs), count)

        def builtin(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return work(run, *[argument(run, outer) for argument in runs])

        def of_one(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return work(run, only(run, outer))

        if len(runs) == 1:
            (only,) = runs
            return CompiledExpression(of_one, is_truth, depth)

        return CompiledExpression(builtin, is_truth, depth)

    def _check_arity(self, token: lark.Token, given: int, wanted: int) -> None:
        if given != wanted:
            self.add_fault(token, f"{token} takes {wanted}, {given} given")

    def _header(self, token: lark.Token, given: list[Tree]) -> CompiledExpression:
        most = 1 if token == "has" else 2
        if not 1 <= len(given) <= most or given[0].data != "text":
            self.add_fault(
                token,
                f"{token} takes a header's name between quotes" + (", and a default" if most > 1 else ""),
            )
            return CompiledExpression(lambda run, outer: b"", token == "has", 1)
        literal = cast(lark.Token, given[0].children[0])
        name = header_name(literal, self.faults)
        if name not in self.manifest.reads:
            self.add_fault(literal, f"{literal} is not in reads")
        if token == "has":
            return CompiledExpression(lambda run, outer: run.first(name) is not None, True, 1)
        default = self.compile_typed(given[1], False) if len(given) > 1 else None

        def header(run: Run, outer: tuple[bytes, ...]) -> bytes:
            value = run.first(name)
            if value is not None:
                return value
            return b"" if default is None else cast(bytes, default.run(run, outer))

        return CompiledExpression(header, False, 1 + (default.depth if default is not None else 0))

    def _joined(self, tree: Tree) -> CompiledExpression:
        runs, depth = self._operands(tree, False)

        def join(run: Run, outer: tuple[bytes, ...]) -> bytes:
            run.steps_left -= 1
            return join_texts(run, [part(run, outer) for part in runs])

        return CompiledExpression(join, False, depth)

    def _any(self, tree: Tree) -> CompiledExpression:
        return self._short_circuit(tree, any)

    def _all(self, tree: Tree) -> CompiledExpression:
        return self._short_circuit(tree, all)

    def _short_circuit(self, tree: Tree, decide: Callable[[Any], bool]) -> CompiledExpression:
        """The later parts are left out where the first decide."""
        runs, depth = self._operands(tree, True)

        def logic(run: Run, outer: tuple[bytes, ...]) -> bool:
            run.steps_left -= 1
            return decide(part(run, outer) for part in runs)

        return CompiledExpression(logic, True, depth)

    def _negated(self, tree: Tree) -> CompiledExpression:
        runs, depth = self._operands(tree, True)

        def negated(run: Run, outer: tuple[bytes, ...]) -> bool:
            run.steps_left -= 1
            return not runs[0](run, outer)

        return CompiledExpression(negated, True, depth)

    def _equal(self, tree: Tree, wanted: bool = True) -> CompiledExpression:
        (left, right), depth = self._operands(tree, False)

        def equal(run: Run, outer: tuple[bytes, ...]) -> bool:
            a, b = left(run, outer), right(run, outer)
            run.spend(1 + min(len(a), len(b)) // TEXT_BYTES_PER_STEP)
            return (a == b) is wanted

        return CompiledExpression(equal, True, depth)

    def _unequal(self, tree: Tree) -> CompiledExpression:
        return self._equal(tree, False)

    def _choice(self, tree: Tree) -> CompiledExpression:
        question, yes, no = cast("list[Tree]", tree.children)
        asked, chosen = self.compile_typed(question, True), self.compile_expression(yes)
        other = self.compile_typed(no, chosen.is_boolean)

        def choice(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return chosen.run(run, outer) if asked.run(run, outer) else other.run(run, outer)

        return CompiledExpression(choice, chosen.is_boolean, 1 + max(asked.depth, chosen.depth, other.depth))

    def _operands(self, tree: Tree, is_truth: bool) -> tuple[list[Closure], int]:
        parts = [self.compile_typed(cast("Tree", child), is_truth) for child in tree.children]
        return [part.run for part in parts], 1 + max(part.depth for part in parts)
