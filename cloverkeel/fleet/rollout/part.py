"""Rollouts in one gateway.

It applies the traffic split of the progress in the ledger, reports its counts to the conductor, and conducts
while its process holds the conductor duty.
"""

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

ORDER_TIMEOUT_S = 8.0  # for the conductor to process an order
VERBS = ("start", "pause", "resume", "abort", "undo")


class RolloutPart:
    """The gateway's part in rollouts.

    Call `start` after membership has started, `attach_duties` once the duties exist, and `close` before the
    ledger closes.
    """

    def __init__(self, gateway: Gateway, ledger: LedgerPart, route_table: RouteTable) -> None:
        self.gateway, self.ledger_part, self.route_table = gateway, ledger, route_table
        self.attempt_counter = AttemptCounter(gateway)
        self.ledger: LedgerService | None = None
        self.progress = Progress()
        self.progress_changed = asyncio.Event()  # set and replaced at each new progress
        self.conductor: ConductorService | None = None
        self.duties: DutiesPart | None = None
        self.membership: Membership | None = None
        self.start_task: asyncio.Task[None] | None = None

    def start(self, membership: Membership) -> None:
        """Starts in the background, once the ledger is ready."""
        self.membership = membership
        self.start_task = asyncio.get_running_loop().create_task(self._start(membership))

    def attach_duties(self, duties: DutiesPart) -> None:
        """Conducts whenever this process holds the conductor duty."""
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

    # The rollout as this gateway serves it

    def _key_changed(self, change: KeyChanged) -> None:
        if change.kind == PROGRESS:
            self._read_progress()
        elif change.kind == ORDER and self.conductor is not None:
            self.conductor.orders_changed(self.orders())

    def _read_progress(self) -> None:
        """Applies the newest progress of the ledger if it is newer than the one applied."""
        assert self.ledger is not None
        records, _ = self.ledger.read(PROGRESS, PROGRESS_KEY)
        progress = newest(tuple(payload for _, payload in records if payload is not None))
        if progress is None or progress.version <= self.progress.version:
            return
        before, self.progress = self.progress, progress
        traffic_split = self.traffic_split()
        if traffic_split != self.route_table.traffic_split:
            self.route_table.set_traffic_split(traffic_split)
        self.attempt_counter.set_host_sets(self.host_sets() if progress.spec is not None else None)
        if (progress.state, progress.stage) != (before.state, before.stage):
            event(
                "rollout.serves",
                state=progress.state,
                stage=progress.stage,
                share=progress.share,
                step=progress.step,
            )
        self.progress_changed.set()
        self.progress_changed = asyncio.Event()

    def reconfigured(self, _config: Config) -> None:
        """Compiles the selectors anew after a SIGHUP, which may change the ids of names."""
        if self.progress.spec is not None:
            self.route_table.set_traffic_split(self.traffic_split())
            self.attempt_counter.set_host_sets(self.host_sets())

    def host_sets(self) -> tuple[HostSelector, HostSelector]:
        """Selectors of the new set and of the base, with the ids that the balancer uses."""
        spec, base = self.progress.spec, self.progress.base
        assert spec is not None
        new = self._selector(spec.hosts)
        old = self._selector(base) if base is not None else HostSelector()
        return new, HostSelector(old.kinds, old.groups, old.zones, old.labels, (*old.none_of, new))

    def _selector(self, selector: Selector) -> HostSelector:
        return compile_hosts(selector.target(), self.gateway.names)

    def traffic_split(self) -> tuple[Target, ...]:
        """The targets that divide all requests; empty if there has been no rollout yet."""
        if self.progress.spec is None:
            return ()
        new, base = self.host_sets()
        share = self.progress.share / 100
        return tuple(t for t in (Target(new, share), Target(base, 1 - share)) if t.share > 0)

    def counts_report(self) -> list[Any]:
        """Report to the conductor: counts id, version served, counts of the new set and of the base."""
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
        """All orders in the ledger; malformed ones are logged and skipped."""
        assert self.ledger is not None
        orders = []
        for key in self.ledger.keys(ORDER):
            records, _ = self.ledger.read(ORDER, key)
            for _, payload in records:
                try:
                    orders += [decode(payload, Order)] if payload is not None else []
                except ValueError as error:
                    event("rollout.malformed", key=key, reason=str(error))
        return tuple(orders)

    def close(self) -> None:
        """Stops the start, if it is pending, and the conductor."""
        if self.start_task is not None:
            self.start_task.cancel()
        if self.conductor is not None:
            self.conductor.close()

    def gauges(self) -> dict[str, int]:
        """The gauges under their metric names."""
        return {
            "rollout_conducts": int(self.conductor is not None),
            "rollout_stage": self.progress.stage,
            "rollout_share_percent": round(self.progress.share),
        }

    # Operator interface

    def status(self) -> Answer:
        """Answers with the progress, this gateway's counts and, at the conductor, its verdict."""
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
        """Writes an order to the ledger and waits until the conductor has processed it.

        The query has `verb`, `name` and `wait` (the acknowledgement waited for), the body the JSON spec of a
        start.
        """
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
        reason = "" if outcome else "no conductor has taken it yet: it is kept in the ledger"
        result = {"id": order.id, "outcome": outcome, "reason": reason}
        return Answer(200 if outcome else 202, json.dumps(result).encode(), JSON_CONTENT_TYPE)

    async def _await_outcome(self, id: str) -> str:
        """Waits for the outcome of an order; empty after ORDER_TIMEOUT_S."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                while id not in (outcomes := dict(self.progress.outcomes)):
                    await self.progress_changed.wait()
        except TimeoutError:
            return ""
        return outcomes[id]


def _parse_spec(body: bytes) -> Spec:
    """Decodes a rollout's spec; raises ValueError if it is invalid."""
    try:
        return msgspec.json.decode(body, type=Spec)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise ValueError(f"the rollout: {error}") from None
