"""Rollouts beside one gateway: it serves the share that the progress says, tells its counts, and conducts
while its process holds the duty."""

from __future__ import annotations

import asyncio
import json
import secrets
from typing import TYPE_CHECKING, Any

import msgspec

from caperdrift.plan import HostSelector, Target

from cloverkeel.fleet.operator_queries import (
    JSON_CONTENT_TYPE,
    LEDGER_NOT_STARTED,
    LEVEL_TIMEOUT_S,
    query_level,
    query_value,
    error_answer,
)
from cloverkeel.fleet.events import event
from cloverkeel.fleet.ledger.interface import Acknowledged, KeyChanged
from cloverkeel.fleet.ledger.shell import LedgerService, WriteRefused
from cloverkeel.fleet.rollout.conductor_service import COUNTS_CALL, ConductorService
from cloverkeel.fleet.rollout.attempt_counter import AttemptCounter
from cloverkeel.fleet.rollout.records import (
    ORDER,
    PROGRESS,
    PROGRESS_KEY,
    Order,
    Progress,
    Selector,
    Spec,
    decode,
    encode,
    newest,
)
from cloverkeel.fleet.rollout.settings import CONDUCTOR_DUTY
from cloverkeel.fleet.routes.serving import RouteTable, compile_hosts
from cloverkeel.operator import Answer

if TYPE_CHECKING:
    from cloverkeel.config import Config
    from cloverkeel.fleet.duties.part import DutiesPart
    from cloverkeel.fleet.ledger.part import LedgerPart
    from cloverkeel.fleet.membership.service import Membership
    from cloverkeel.gateway import Gateway

ORDER_TIMEOUT_S = 8.0  # for the conductor to say what becomes of an order
VERBS = ("start", "pause", "resume", "abort", "undo")


class RolloutPart:
    """`start` after membership, `conduct_by` once the duties are there; `close` before the ledger closes."""

    def __init__(self, gateway: Gateway, ledger: LedgerPart, serving: RouteTable) -> None:
        self.gateway, self.ledger_part, self.route_table = gateway, ledger, serving
        self.attempt_counter = AttemptCounter(gateway)
        self.ledger: LedgerService | None = None
        self.progress = Progress()
        self.progress_changed = asyncio.Event()  # set at each new progress, for who waits
        self.conductor: ConductorService | None = None
        self.duties: DutiesPart | None = None
        self.membership: Membership | None = None
        self.start_task: asyncio.Task[None] | None = None

    def start(self, membership: Membership) -> None:
        self.membership = membership
        self.start_task = asyncio.get_running_loop().create_task(self._start(membership))

    def attach_duties(self, duties: DutiesPart) -> None:
        self.duties = duties
        duties.add_listener(CONDUCTOR_DUTY, self._duty_changed)

    async def _start(self, membership: Membership) -> None:
        self.ledger = await self.ledger_part.ready()
        self.ledger.on_key_changed(self._key_changed)
        membership.calls.serve(COUNTS_CALL, lambda _member, _body: self.counts_report())
        self._read_progress()
        self._duty_changed(self._duty_token())

    def _duty_token(self) -> int | None:
        service = self.duties.service if self.duties is not None else None
        return service.token(CONDUCTOR_DUTY) if service is not None else None

    # What this gateway serves

    def _key_changed(self, exposed: KeyChanged) -> None:
        if exposed.kind == PROGRESS:
            self._read_progress()
        elif exposed.kind == ORDER and self.conductor is not None:
            self.conductor.orders_changed(self.orders())

    def _read_progress(self) -> None:
        assert self.ledger is not None
        records, _ = self.ledger.read(PROGRESS, PROGRESS_KEY)
        found = newest(tuple(payload for _, payload in records if payload is not None))
        if found is None or found.version <= self.progress.version:
            return
        before, self.progress = self.progress, found
        over = self.traffic_split()
        if over != self.route_table.traffic_split:
            self.route_table.set_traffic_split(over)
        self.attempt_counter.set_host_sets(self.host_sets() if found.spec is not None else None)
        if (found.state, found.stage) != (before.state, before.stage):
            event("rollout.serves", state=found.state, stage=found.stage, share=found.share, step=found.step)
        self.progress_changed.set()
        self.progress_changed = asyncio.Event()

    def reconfigured(self, _config: Config) -> None:
        """After a SIGHUP: names may have other numbers."""
        if self.progress.spec is not None:
            self.route_table.set_traffic_split(self.traffic_split())
            self.attempt_counter.set_host_sets(self.host_sets())

    def host_sets(self) -> tuple[HostSelector, HostSelector]:
        """The new set's hosts and the base's, as the module knows them."""
        spec, base = self.progress.spec, self.progress.base
        assert spec is not None
        new = self._selector(spec.hosts)
        old = self._selector(base) if base is not None else HostSelector()
        return new, HostSelector(old.kinds, old.groups, old.zones, old.labels, (*old.none_of, new))

    def _selector(self, selector: Selector) -> HostSelector:
        return compile_hosts(selector.target(), self.gateway.names)

    def traffic_split(self) -> tuple[Target, ...]:
        """How all requests are divided; empty: no rollout has ever been."""
        if self.progress.spec is None:
            return ()
        new, base = self.host_sets()
        share = self.progress.share / 100
        return tuple(t for t in (Target(new, share), Target(base, 1 - share)) if t.share > 0)

    def counts_report(self) -> list[Any]:
        """For the conductor: life, place of the progress served, counts of the new set and of the base."""
        new, base = self.attempt_counter.counts
        return [self.attempt_counter.counts_id, self.progress.version, new.to_list(), base.to_list()]

    # Conducting

    def _duty_changed(self, token: int | None) -> None:
        if self.conductor is not None:
            self.conductor.close()
            self.conductor = None
        if token is None or self.ledger is None or self.membership is None or self.duties is None:
            return
        service = self.duties.service
        assert service is not None
        self.conductor = ConductorService(token, self, self.ledger, service, self.membership)
        self.conductor.orders_changed(self.orders())

    def orders(self) -> tuple[Order, ...]:
        assert self.ledger is not None
        found = []
        for key in self.ledger.keys(ORDER):
            records, _ = self.ledger.read(ORDER, key)
            for _, payload in records:
                try:
                    found += [decode(payload, Order)] if payload is not None else []
                except ValueError as error:
                    event("rollout.malformed", key=key, reason=str(error))
        return tuple(found)

    def close(self) -> None:
        if self.start_task is not None:
            self.start_task.cancel()
        if self.conductor is not None:
            self.conductor.close()

    def gauges(self) -> dict[str, int]:
        return {
            "rollout_conducts": int(self.conductor is not None),
            "rollout_stage": self.progress.stage,
            "rollout_share_percent": round(self.progress.share),
        }

    # Operators' calls

    def status(self) -> Answer:
        if self.ledger is None:
            return LEDGER_NOT_STARTED
        progress = self.progress
        new, base = self.attempt_counter.counts
        body = {
            "state": progress.state, "stage": progress.stage, "share": progress.share, "why": progress.why,
            "token": progress.token, "step": progress.step,
            "spec": msgspec.to_builtins(progress.spec), "base": msgspec.to_builtins(progress.base),
            "outcomes": dict(progress.outcomes), "conducts_here": self.conductor is not None,
            "here": {"new": new.to_list()[:3], "base": base.to_list()[:3]},
        }  # fmt: skip
        if self.conductor is not None:
            body["verdict"] = self.conductor.verdict()
        return Answer(200, json.dumps(body).encode(), JSON_CONTENT_TYPE)

    async def submit_order(self, query: bytes, body: bytes) -> Answer:
        """`verb`, `name` and `wait` in the query; the spec of a start, as JSON, in the body."""
        if self.ledger is None:
            return LEDGER_NOT_STARTED
        try:
            verb, wait = query_value(query, "verb"), query_level(query)
            if verb not in VERBS:
                raise ValueError(f"verb is one of {', '.join(VERBS)}, not {verb[:20]!r}")
            spec = _parse_spec(body) if verb == "start" else None
            name = spec.name if spec is not None else query_value(query, "name")
            number = max([self.progress.seen, *(order.number for order in self.orders())]) + 1
            order = Order(secrets.token_hex(16), number, verb, name, spec)  # type: ignore[arg-type]
            payload = encode(order)
            _, context = self.ledger.read(ORDER, order.id)
            answer = await self.ledger.write(ORDER, order.id, payload, context, wait, LEVEL_TIMEOUT_S)
        except ValueError as error:
            return error_answer(400, error)
        except WriteRefused as error:
            return error_answer(503, error)
        if not isinstance(answer, Acknowledged):
            return Answer(
                202,
                json.dumps({"id": order.id, "outcome": "", "reason": answer.reason}).encode(),
                JSON_CONTENT_TYPE,
            )
        outcome = await self._await_outcome(order.id)
        reason = "" if outcome else "no conductor has taken it yet: it is kept"
        told = {"id": order.id, "outcome": outcome, "reason": reason}
        return Answer(200 if outcome else 202, json.dumps(told).encode(), JSON_CONTENT_TYPE)

    async def _await_outcome(self, id: str) -> str:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                while id not in (outcomes := dict(self.progress.outcomes)):
                    await self.progress_changed.wait()
        except TimeoutError:
            return ""
        return outcomes[id]


def _parse_spec(body: bytes) -> Spec:
    """Raises ValueError."""
    try:
        return msgspec.json.decode(body, type=Spec)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"the rollout: {error}") from None
