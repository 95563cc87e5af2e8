"""Expressions of a transform's source, checked and made closures of a run and the parameters given."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

import lark

from cloverkeel.transforms.protocol import Manifest
from cloverkeel.transforms.running import FUNCTIONS, TEXT_STEP, Run, joined
from cloverkeel.transforms.source import NESTING_MOST, Fault, header_name, place_of, text_of

if TYPE_CHECKING:
    from cloverkeel.transforms.source import Tree

Closure = Callable[[Run, tuple[bytes, ...]], Any]
PARAMETERS_MOST = 8
FACTS: dict[str, Callable[[Run], bytes]] = {
    "class": lambda run: run.klass,
    "caller": lambda run: run.caller,
    "path": lambda run: run.path,
}
RESERVED = {*FACTS, *FUNCTIONS, "value", "has", "header"}


@dataclass(slots=True, frozen=True)
class Compiled:
    """What an expression does, whether it makes a truth (else a text), how deep it nests with its calls."""

    run: Closure
    is_truth: bool
    depth: int


@dataclass(slots=True, frozen=True)
class Function:
    parameters: int
    body: Compiled


class Expressions:
    """Compiles expressions one after another; `faults` collects what is wrong with them."""

    def __init__(self, manifest: Manifest) -> None:
        self.manifest = manifest
        self.faults: list[Fault] = []
        self.functions: dict[str, Function] = {}
        self.parameters: list[str] = []  # of the function that is being defined
        self.has_value = False  # within `rewrite`

    def fault(self, token: lark.Token, reason: str) -> None:
        self.faults.append(Fault(*place_of(token), reason))

    def define(self, tree: Tree) -> None:
        token, parameters, body = cast("tuple[lark.Token, Tree, Tree]", tuple(tree.children))
        names = [str(name) for name in parameters.children]
        for name in cast("list[lark.Token]", [token, *parameters.children]):
            if name in RESERVED or name in self.functions:
                self.fault(name, f"{name} has a meaning already")
        if len(set(names)) < len(names) or len(names) > PARAMETERS_MOST:
            self.fault(token, f"parameters are {PARAMETERS_MOST} at most, each with a name of its own")
        self.parameters = names
        self.functions[str(token)] = Function(len(names), self.expression(body))
        self.parameters = []

    def text(self, tree: Tree) -> Closure:
        return self.expect(tree, False).run

    def truth(self, tree: Tree) -> Closure:
        return self.expect(tree, True).run

    def expect(self, tree: Tree, is_truth: bool) -> Compiled:
        compiled = self.expression(tree)
        if compiled.is_truth is not is_truth:
            kinds = "a text", "a truth"
            at = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*at, f"{kinds[is_truth]} is wanted here, this is {kinds[not is_truth]}"))
        return compiled

    def expression(self, tree: Tree) -> Compiled:
        make: Callable[[Tree], Compiled] = getattr(self, f"_{tree.data}")
        compiled = make(tree)
        if compiled.depth > NESTING_MOST:
            at = tree.meta.line, tree.meta.column
            self.faults.append(Fault(*at, f"nested deeper than {NESTING_MOST}, calls included"))
            return Compiled(compiled.run, compiled.is_truth, 0)  # said once
        return compiled

    def _text(self, tree: Tree) -> Compiled:
        value = text_of(cast(lark.Token, tree.children[0]), self.faults).encode("ascii", "replace")
        cost = 1 + len(value) // TEXT_STEP

        def run(run: Run, _: tuple[bytes, ...]) -> bytes:
            run.left -= cost
            return value

        return Compiled(run, False, 1)

    def _name(self, tree: Tree) -> Compiled:
        token = cast(lark.Token, tree.children[0])
        if token in self.parameters:
            place = self.parameters.index(token)

            def parameter(run: Run, given: tuple[bytes, ...]) -> bytes:
                run.left -= 1
                return given[place]

            return Compiled(parameter, False, 1)
        fact = (lambda run: run.value) if token == "value" and self.has_value else FACTS.get(str(token))
        if fact is None:
            self.fault(token, f"{token} is not known here")
            return Compiled(lambda run, given: b"", False, 1)

        def of_call(run: Run, _: tuple[bytes, ...]) -> bytes:
            run.left -= 1
            return fact(run)

        return Compiled(of_call, False, 1)

    def _call(self, tree: Tree) -> Compiled:
        token = cast(lark.Token, tree.children[0])
        given = cast("list[Tree]", tree.children[1:])
        if token in ("has", "header"):
            return self._header(token, given)
        arguments = [self.expect(each, False) for each in given]
        runs = [argument.run for argument in arguments]
        depth = 1 + max((argument.depth for argument in arguments), default=0)
        if token in self.functions:
            function = self.functions[str(token)]
            body = function.body.run
            self._count(token, len(runs), function.parameters)

            def call(run: Run, outer: tuple[bytes, ...]) -> Any:
                run.pay(1)
                return body(run, tuple([argument(run, outer) for argument in runs]))

            return Compiled(call, function.body.is_truth, depth + function.body.depth)
        if token not in FUNCTIONS:
            self.fault(token, f"no function {token} is defined above")
            return Compiled(lambda run, outer: b"", False, depth)
        work, count, is_truth = FUNCTIONS[str(token)]
        self._count(token, len(runs), count)

        def builtin(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.left -= 1
            return work(run, *[argument(run, outer) for argument in runs])

        def of_one(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.left -= 1
            return work(run, only(run, outer))

        if len(runs) == 1:
            (only,) = runs
            return Compiled(of_one, is_truth, depth)

        return Compiled(builtin, is_truth, depth)

    def _count(self, token: lark.Token, given: int, wanted: int) -> None:
        if given != wanted:
            self.fault(token, f"{token} takes {wanted}, {given} given")

    def _header(self, token: lark.Token, given: list[Tree]) -> Compiled:
        most = 1 if token == "has" else 2
        if not 1 <= len(given) <= most or given[0].data != "text":
            self.fault(
                token,
                f"{token} takes a header's name between quotes" + (", and a default" if most > 1 else ""),
            )
            return Compiled(lambda run, outer: b"", token == "has", 1)
        literal = cast(lark.Token, given[0].children[0])
        name = header_name(literal, self.faults)
        if name not in self.manifest.reads:
            self.fault(literal, f"{literal} is not in reads")
        if token == "has":
            return Compiled(lambda run, outer: run.first(name) is not None, True, 1)
        default = self.expect(given[1], False) if len(given) > 1 else None

        def header(run: Run, outer: tuple[bytes, ...]) -> bytes:
            value = run.first(name)
            if value is not None:
                return value
            return b"" if default is None else cast(bytes, default.run(run, outer))

        return Compiled(header, False, 1 + (default.depth if default is not None else 0))

    def _joined(self, tree: Tree) -> Compiled:
        runs, depth = self._parts(tree, False)

        def join(run: Run, outer: tuple[bytes, ...]) -> bytes:
            run.left -= 1
            return joined(run, [part(run, outer) for part in runs])

        return Compiled(join, False, depth)

    def _any(self, tree: Tree) -> Compiled:
        return self._logic(tree, any)

    def _all(self, tree: Tree) -> Compiled:
        return self._logic(tree, all)

    def _logic(self, tree: Tree, decide: Callable[[Any], bool]) -> Compiled:
        """The later parts are left out where the first decide."""
        runs, depth = self._parts(tree, True)

        def logic(run: Run, outer: tuple[bytes, ...]) -> bool:
            run.left -= 1
            return decide(part(run, outer) for part in runs)

        return Compiled(logic, True, depth)

    def _negated(self, tree: Tree) -> Compiled:
        runs, depth = self._parts(tree, True)

        def negated(run: Run, outer: tuple[bytes, ...]) -> bool:
            run.left -= 1
            return not runs[0](run, outer)

        return Compiled(negated, True, depth)

    def _equal(self, tree: Tree, wanted: bool = True) -> Compiled:
        (left, right), depth = self._parts(tree, False)

        def equal(run: Run, outer: tuple[bytes, ...]) -> bool:
            a, b = left(run, outer), right(run, outer)
            run.pay(1 + min(len(a), len(b)) // TEXT_STEP)
            return (a == b) is wanted

        return Compiled(equal, True, depth)

    def _unequal(self, tree: Tree) -> Compiled:
        return self._equal(tree, False)

    def _choice(self, tree: Tree) -> Compiled:
        question, yes, no = cast("list[Tree]", tree.children)
        asked, chosen = self.expect(question, True), self.expression(yes)
        other = self.expect(no, chosen.is_truth)

        def choice(run: Run, outer: tuple[bytes, ...]) -> Any:
            run.left -= 1
            return chosen.run(run, outer) if asked.run(run, outer) else other.run(run, outer)

        return Compiled(choice, chosen.is_truth, 1 + max(asked.depth, chosen.depth, other.depth))

    def _parts(self, tree: Tree, is_truth: bool) -> tuple[list[Closure], int]:
        parts = [self.expect(cast("Tree", child), is_truth) for child in tree.children]
        return [part.run for part in parts], 1 + max(part.depth for part in parts)
