"""Type-checks expressions and compiles them to closures, called with a run and the function's arguments.

`ExpressionCompiler.compile_expression` finds the method `_<rule>` for each grammar rule.
"""

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

Closure = Callable[[Run, tuple[bytes, ...]], Any]  # of a run and the arguments of the function it is part of
MAX_PARAMETERS = 8  # of one user-defined function
# Names that stand for attributes of the call.
CALL_FIELDS: dict[str, Callable[[Run], bytes]] = {
    "class": lambda run: run.klass,
    "caller": lambda run: run.caller,
    "path": lambda run: run.path,
}
RESERVED_NAMES = {*CALL_FIELDS, *FUNCTIONS, "value", "has", "header"}


@dataclass(slots=True, frozen=True)
class CompiledExpression:
    """An expression's closure, whether its result is a boolean (otherwise a text), and its nesting depth,
    including that of the functions it calls."""

    run: Closure
    is_boolean: bool
    depth: int


@dataclass(slots=True, frozen=True)
class UserFunction:
    """A function defined in the source with `def`."""

    parameter_count: int
    body: CompiledExpression


class ExpressionCompiler:
    """Compiles expressions one after another; `faults` collects errors. A function can call only functions
    that are defined above it, so recursion is impossible."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.faults: list[Fault] = []
        self.functions: dict[str, UserFunction] = {}
        self.parameters: list[str] = []  # of the function that is being compiled
        self.has_value = False  # whether the name `value` is defined: within `rewrite`

    def add_fault(self, token: lark.Token, reason: str) -> None:
        self.faults.append(Fault(*token_position(token), reason))

    def define_function(self, tree: Tree) -> None:
        """Compiles a `def`, so that later expressions can call it."""
        token, parameters, body = cast("tuple[lark.Token, Tree, Tree]", tuple(tree.children))
        names = [str(name) for name in parameters.children]
        for name in cast("list[lark.Token]", [token, *parameters.children]):
            if name in RESERVED_NAMES or name in self.functions:
                self.add_fault(name, f"{name} is already defined")
        if len(set(names)) < len(names) or len(names) > MAX_PARAMETERS:
            self.add_fault(token, f"at most {MAX_PARAMETERS} parameters, with distinct names, are allowed")
        self.parameters = names
        self.functions[str(token)] = UserFunction(len(names), self.compile_expression(body))
        self.parameters = []

    def compile_text(self, tree: Tree) -> Closure:
        """Compiles an expression that has to be a text."""
        return self.compile_typed(tree, False).run

    def compile_boolean(self, tree: Tree) -> Closure:
        """Compiles an expression that has to be a boolean."""
        return self.compile_typed(tree, True).run

    def compile_typed(self, tree: Tree, is_boolean: bool) -> CompiledExpression:
        """Compiles an expression of the given type; another type is a fault."""
        compiled = self.compile_expression(tree)
        if compiled.is_boolean is not is_boolean:
            types = "a string", "a boolean"
            position = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*position, f"expected {types[is_boolean]}, got {types[not is_boolean]}"))
        return compiled

    def compile_expression(self, tree: Tree) -> CompiledExpression:
        """Compiles an expression of either type."""
        make: Callable[[Tree], CompiledExpression] = getattr(self, f"_{tree.data}")
        compiled = make(tree)
        if compiled.depth > MAX_NESTING:
            position = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*position, f"nested deeper than {MAX_NESTING} levels, calls included"))
            return CompiledExpression(compiled.run, compiled.is_boolean, 0)  # depth 0: reported only once
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
            index = self.parameters.index(token)

            def parameter(run: Run, arguments: tuple[bytes, ...]) -> bytes:
                run.steps_left -= 1
                return arguments[index]

            return CompiledExpression(parameter, False, 1)
        field = (
            (lambda run: run.value) if token == "value" and self.has_value else CALL_FIELDS.get(str(token))
        )
        if field is None:
            self.add_fault(token, f"{token} is not defined here")
            return CompiledExpression(lambda run, arguments: b"", False, 1)

        def call_field(run: Run, _: tuple[bytes, ...]) -> bytes:
            run.steps_left -= 1
            return field(run)

        return CompiledExpression(call_field, False, 1)

    def _call(self, tree: Tree) -> CompiledExpression:
        token = cast(lark.Token, tree.children[0])
        argument_trees = cast("list[Tree]", tree.children[1:])
        if token in ("has", "header"):
            return self._header(token, argument_trees)
        compiled_arguments = [self.compile_typed(child, False) for child in argument_trees]
        runs = [argument.run for argument in compiled_arguments]
        depth = 1 + max((argument.depth for argument in compiled_arguments), default=0)
        if token in self.functions:
            function = self.functions[str(token)]
            body = function.body.run
            self._check_arity(token, len(runs), function.parameter_count)

            def call(run: Run, arguments: tuple[bytes, ...]) -> Any:
                run.spend(1)
                return body(run, tuple([argument(run, arguments) for argument in runs]))

            return CompiledExpression(call, function.body.is_boolean, depth + function.body.depth)
        if token not in FUNCTIONS:
            self.add_fault(token, f"no function {token} is defined above")
            return CompiledExpression(lambda run, arguments: b"", False, depth)
        function_of_run, count, is_boolean = FUNCTIONS[str(token)]
        self._check_arity(token, len(runs), count)

        def builtin(run: Run, arguments: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return function_of_run(run, *[argument(run, arguments) for argument in runs])

        def builtin_of_one(run: Run, arguments: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return function_of_run(run, only(run, arguments))

        if len(runs) == 1:
            (only,) = runs
            return CompiledExpression(builtin_of_one, is_boolean, depth)

        return CompiledExpression(builtin, is_boolean, depth)

    def _check_arity(self, token: lark.Token, given: int, expected: int) -> None:
        if given != expected:
            self.add_fault(token, f"{token} takes {expected} argument(s), {given} given")

    def _header(self, token: lark.Token, given: list[Tree]) -> CompiledExpression:
        """The functions `has` and `header`, which need the header's name as a literal to check it against
        `reads`."""
        max_arguments = 1 if token == "has" else 2
        if not 1 <= len(given) <= max_arguments or given[0].data != "text":
            self.add_fault(
                token,
                f"{token} takes a quoted header name"
                + (" and an optional default" if max_arguments > 1 else ""),
            )
            return CompiledExpression(lambda run, arguments: b"", token == "has", 1)
        literal = cast(lark.Token, given[0].children[0])
        name = header_name(literal, self.faults)
        if name not in self.manifest.reads:
            self.add_fault(literal, f"{literal} is not in reads")
        if token == "has":
            return CompiledExpression(lambda run, arguments: run.first(name) is not None, True, 1)
        default = self.compile_typed(given[1], False) if len(given) > 1 else None

        def header(run: Run, arguments: tuple[bytes, ...]) -> bytes:
            value = run.first(name)
            if value is not None:
                return value
            return b"" if default is None else cast(bytes, default.run(run, arguments))

        return CompiledExpression(header, False, 1 + (default.depth if default is not None else 0))

    def _joined(self, tree: Tree) -> CompiledExpression:
        runs, depth = self._operands(tree, False)

        def join(run: Run, arguments: tuple[bytes, ...]) -> bytes:
            run.steps_left -= 1
            return join_texts(run, [operand(run, arguments) for operand in runs])

        return CompiledExpression(join, False, depth)

    def _any(self, tree: Tree) -> CompiledExpression:
        return self._short_circuit(tree, any)

    def _all(self, tree: Tree) -> CompiledExpression:
        return self._short_circuit(tree, all)

    def _short_circuit(self, tree: Tree, decide: Callable[[Any], bool]) -> CompiledExpression:
        """Operands are evaluated from left to right until the result is known."""
        runs, depth = self._operands(tree, True)

        def logic(run: Run, arguments: tuple[bytes, ...]) -> bool:
            run.steps_left -= 1
            return decide(operand(run, arguments) for operand in runs)

        return CompiledExpression(logic, True, depth)

    def _negated(self, tree: Tree) -> CompiledExpression:
        runs, depth = self._operands(tree, True)

        def negated(run: Run, arguments: tuple[bytes, ...]) -> bool:
            run.steps_left -= 1
            return not runs[0](run, arguments)

        return CompiledExpression(negated, True, depth)

    def _equal(self, tree: Tree, expected: bool = True) -> CompiledExpression:
        (left, right), depth = self._operands(tree, False)

        def equal(run: Run, arguments: tuple[bytes, ...]) -> bool:
            a, b = left(run, arguments), right(run, arguments)
            run.spend(1 + min(len(a), len(b)) // TEXT_BYTES_PER_STEP)
            return (a == b) is expected

        return CompiledExpression(equal, True, depth)

    def _unequal(self, tree: Tree) -> CompiledExpression:
        return self._equal(tree, False)

    def _choice(self, tree: Tree) -> CompiledExpression:
        condition_tree, then_tree, else_tree = cast("list[Tree]", tree.children)
        condition, then = self.compile_typed(condition_tree, True), self.compile_expression(then_tree)
        otherwise = self.compile_typed(else_tree, then.is_boolean)

        def choice(run: Run, arguments: tuple[bytes, ...]) -> Any:
            run.steps_left -= 1
            return (
                then.run(run, arguments) if condition.run(run, arguments) else otherwise.run(run, arguments)
            )

        return CompiledExpression(
            choice, then.is_boolean, 1 + max(condition.depth, then.depth, otherwise.depth)
        )

    def _operands(self, tree: Tree, is_boolean: bool) -> tuple[list[Closure], int]:
        """Compiles all children as operands of one type; their closures, and the depth of the whole."""
        operands = [self.compile_typed(cast("Tree", child), is_boolean) for child in tree.children]
        return [operand.run for operand in operands], 1 + max(operand.depth for operand in operands)
