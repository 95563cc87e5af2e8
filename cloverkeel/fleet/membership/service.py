"""Membership as the gateway's other parts use it: the core, its UDP shell and the calls between members."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet import invariants
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.events import event
from cloverkeel.fleet.membership.bind import open_sockets, bind_udp
from cloverkeel.fleet.membership.calls import CallFailed, Calls
from cloverkeel.fleet.membership.checked import CheckedMember
from cloverkeel.fleet.membership.codec import (
    Codec,
    DatagramError,
    format_address,
    parse_address,
    updates_from_body,
    updates_to_body,
)
from cloverkeel.fleet.membership.gossip import GossipTransport
from cloverkeel.fleet.membership.member import Member
from cloverkeel.fleet.membership.messages import (
    Action,
    NoSeedAnswered,
    MemberChanged,
    ExchangeViews,
    Push,
    NameConflict,
)
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from cloverkeel.tasks import BackgroundTasks

VIEW_CALL = "members.view"  # the call that swaps whole views
VIEW_TIMEOUT_S = 2.0  # for it to be answered
NAME_CALL = "members.name"  # the call that asks a member who it is
NAME_TIMEOUT_S = 1.0  # for that: a killed process refuses the connection at once
MAX_CONCURRENT_EXCHANGES = 8  # at once; the next push-pull makes up for one left out
MAX_LOG_LINES_PER_S = 20  # on members that change; a fleet that starts at once has more to tell
LEAVE_SENDS, LEAVE_INTERVAL_S = 2, 0.03  # a leave is said twice: a datagram may be lost

Listener = Callable[[MemberUpdate, MemberUpdate | None], None]


class Membership:
    """This process as a member of `settings.name`.

    `name`, `zone`: the gateway's; `incarnation`: higher than any that the name had before; `take_over`: this
    is the new process of an upgrade. `joined` is set once a seed has answered, none is alive, or the name is
    found taken. After `start` the member's own address is `address` and `calls` serves at it.
    """

    def __init__(
        self,
        settings: ClusterSettings,
        name: str,
        zone: str,
        incarnation: int,
        take_over: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        self.settings, self.name, self.zone, self.take_over = settings, name, zone, take_over
        self.incarnation, self.seeds = incarnation, settings.seeds
        self.rng = rng or random.Random()
        self.joined = asyncio.Event()
        self.calls = Calls(settings.name, name)
        self.calls.serve(VIEW_CALL, self._on_view)
        self.calls.serve(NAME_CALL, lambda peer, body: name)
        self.gossip = GossipTransport(Codec(settings.name), self._on_action)
        self.address = ""
        self.older_addresses: tuple[
            str, ...
        ] = ()  # where the process is heard that holds the configured port
        self.state = "starting"  # joining, alone, member, name_taken, superseded, left
        self.member: Member | None = None
        self.listeners: list[Listener] = []
        self.counts: Counter[str] = Counter()
        self.last_changed_s: dict[str, float] = {}
        self.logged_holder = ""  # the address that held this member's name, as last logged
        self.tasks = BackgroundTasks()
        self.rejoin_timer: asyncio.TimerHandle | None = None
        self.lines_in_window, self.log_window_s = 0, 0.0
        self.loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Bind and begin to join; returns at once, `joined` tells the rest. Raises OSError."""
        host, port = self.settings.bind_address
        udp, tcp = open_sockets(host, port, self.take_over)
        bound, told = udp.getsockname()[1], self.settings.advertise
        elsewhere = port not in (0, bound)  # in an upgrade, beside the process before
        if elsewhere:
            self.older_addresses = (told or format_address(host, port),)
        if told and elsewhere:
            told = format_address(parse_address(told)[0], bound)
        self.address = told or format_address(host, bound)
        await self.calls.listen(tcp)
        await self.gossip.open(udp)
        if elsewhere:  # its view is the fleet's
            self.seeds = tuple(dict.fromkeys((*self.seeds, self.settings.bind)))
            self.tasks.spawn(self._listen_at_configured(host, port))
        self._join()

    async def _listen_at_configured(self, host: str, port: int) -> None:
        """Members that join ask at the configured address: hear them there too, once the process before has
        ended."""
        while True:
            await asyncio.sleep(self.settings.join_wait_s)
            try:
                await self.gossip.open_extra(bind_udp(host, port))
                return
            except OSError:
                continue

    def _join(self, take_over: bool = False) -> None:
        me = MemberUpdate(self.name, self.address, self.incarnation, Status.ALIVE, self.zone)
        settings = self.settings
        kind = CheckedMember if invariants.ON else Member
        take_over = take_over or self.take_over
        self.member = kind(me, settings.timing, self.seeds, take_over, self.rng, self.older_addresses)
        self.state = "joining"
        self.gossip.run_member(self.member)
        if self.member.joining_until_s is None:
            self._on_alone("no seeds are named")

    # What the core says

    def _on_action(self, action: Action) -> None:
        match action:
            case MemberChanged():
                self._on_changed(action)
            case ExchangeViews():
                if len(self.tasks) < MAX_CONCURRENT_EXCHANGES:
                    self.tasks.spawn(self._exchange_views(action.address))
            case NoSeedAnswered():
                self._on_alone(f"no answer from {len(action.seeds)} seeds")
            case NameConflict():
                self._on_name_conflict(action)

    def _on_changed(self, action: MemberChanged) -> None:
        rumour, before = action.update, action.previous
        self.last_changed_s[rumour.name] = self.loop.time()
        if len(self.last_changed_s) > 2 * len(self.view()) + 16:  # mostly of members long reaped
            known = self.view()
            self.last_changed_s = {name: at_s for name, at_s in self.last_changed_s.items() if name in known}
            self.gossip.retain_members(known)
        if rumour.name == self.name:
            self.counts["refutations"] += 1
            self._log_limited("members.refuted", incarnation=rumour.incarnation, reason=action.reason)
        elif before is None or before.status is not rumour.status:
            kind = rumour.status.value
            self.counts[f"seen_{kind}"] += 1
            self._log_limited(
                f"members.{kind}", member=rumour.name, address=rumour.address, incarnation=rumour.incarnation,
                reason=action.reason,
            )  # fmt: skip
        if self.state in ("joining", "alone") and rumour.status in LIVE_STATUSES and rumour.name != self.name:
            self._on_joined()
        self._notify_listeners(rumour, before)

    def _notify_listeners(self, rumour: MemberUpdate, before: MemberUpdate | None) -> None:
        for listener in list(self.listeners):
            listener(rumour, before)

    def _on_joined(self) -> None:
        self.state = "member"
        event("members.joined", cluster=self.settings.name, address=self.address, members=len(self.live()))
        self.joined.set()

    def _on_alone(self, reason: str) -> None:
        if self.state == "joining":
            self.state = "alone"
            event("members.alone", cluster=self.settings.name, address=self.address, reason=reason)
            self.joined.set()

    def _on_name_conflict(self, action: NameConflict) -> None:
        by = action.holder
        if not action.joining:
            self.state = "superseded"
            event("members.superseded", member=by.name, by=by.address, incarnation=by.incarnation)
            return
        self.tasks.spawn(self._check_holder(by))

    async def _check_holder(self, by: MemberUpdate) -> None:
        """A killed process holds its name until the others miss it, and is back before: where its address
        does not answer to the name, this one goes on from it."""
        try:
            answer = await self.calls.call(by.address, NAME_CALL, None, NAME_TIMEOUT_S)
        except CallFailed:
            answer = None
        if answer != self.name:
            event("members.name_free", member=by.name, holder=by.address, incarnation=by.incarnation)
            self._join(take_over=True)
            return
        self.state = "name_taken"
        if by.address != self.logged_holder:
            self.logged_holder = by.address
            event("members.name_taken", member=by.name, holder=by.address, incarnation=by.incarnation,
                  reason="another process has this name; asking again until it is gone")  # fmt: skip
        self.joined.set()
        self.rejoin_timer = self.loop.call_later(self.settings.push_pull_s, self._join)

    def _log_limited(self, name: str, **fields: object) -> None:
        now_s = self.loop.time()
        if now_s - self.log_window_s >= 1.0:
            if self.lines_in_window > MAX_LOG_LINES_PER_S:
                event(
                    "members.more",
                    lines=self.lines_in_window - MAX_LOG_LINES_PER_S,
                    within_s=now_s - self.log_window_s,
                )
            self.lines_in_window, self.log_window_s = 0, now_s
        self.lines_in_window += 1
        if self.lines_in_window <= MAX_LOG_LINES_PER_S:
            event(name, **fields)

    # Whole views over a stream

    async def _exchange_views(self, address: str) -> None:
        self.counts["views_swapped"] += 1
        try:
            body = await self.calls.call(address, VIEW_CALL, self._view_body(), VIEW_TIMEOUT_S)
            self._merge_view_body(body)
        except (CallFailed, DatagramError) as error:
            self._log_limited("members.view_failed", address=address, reason=str(error))

    def _view_body(self) -> list[Any]:
        assert self.member is not None
        others = [r for r in self.member.members().values() if r.name != self.name]
        return updates_to_body([self.member.me, *others])

    def _merge_view_body(self, body: Any) -> None:
        rumours = updates_from_body(body)
        if not rumours:
            raise DatagramError("malformed", "an empty view")
        self.gossip.receive(Push(rumours[0], tuple(rumours[1:])))

    def _on_view(self, peer: str, body: Any) -> Any:
        self._merge_view_body(body)
        return self._view_body()

    # For the gateway's other parts

    @property
    def name_taken(self) -> bool:
        return self.state == "name_taken"

    def view(self) -> dict[str, MemberUpdate]:
        """Every member known, this one included: name to rumour. Where the name is taken, this one alone."""
        if self.member is None:
            return {}
        return {self.name: self.member.me} if self.name_taken else self.member.members()

    def live(self) -> list[MemberUpdate]:
        """The members that are alive or suspect, this one included, by name."""
        return sorted((r for r in self.view().values() if r.status in LIVE_STATUSES), key=lambda r: r.name)

    def on_change(self, listener: Listener) -> None:
        """`listener(rumour, before)` after each change of the view, this member's own refutations included;
        it must not raise."""
        self.listeners.append(listener)

    def table(self) -> list[dict[str, Any]]:
        """Each member as operators read it; `heard_s`: since it last spoke to this one, or was told of."""
        now_s = self.loop.time()
        rows = []
        for name, r in sorted(self.view().items()):
            told_s = max(self.gossip.last_heard_s.get(name, 0.0), self.last_changed_s.get(name, 0.0))
            heard_s = 0.0 if name == self.name else round(now_s - told_s, 3)
            rows.append({
                "name": name, "zone": r.zone, "address": r.address, "status": r.status.value,
                "incarnation": r.incarnation, "heard_s": heard_s,
            })  # fmt: skip
        return rows

    def counters(self) -> dict[str, int]:
        """What has been done since the start."""
        mine, sent, calls = self.counts, self.gossip.counts, self.calls.counts
        named = {
            "probes": sent["probes"], "indirect_probes": sent["indirect_probes"],
            "suspicions": mine["seen_suspect"], "refutations": mine["refutations"],
            "deaths": mine["seen_dead"], "leaves": mine["seen_left"],
            "datagrams_in": sent["datagrams_in"], "datagrams_out": sent["datagrams_out"],
            "views_swapped": mine["views_swapped"], "stalls": sent["stalls"],
        }  # fmt: skip
        for reason in ("malformed", "oversized", "version", "cluster", "unsendable", "failed"):
            named[f"datagrams_dropped_{reason}"] = sent[f"dropped_{reason}"]
        for reason in ("malformed", "oversized", "version", "cluster"):
            named[f"frames_dropped_{reason}"] = calls[f"frames_dropped_{reason}"]
        for key in ("calls_in", "calls_out", "calls_failed", "subscriptions", "connections_refused"):
            named[key] = calls[key]
        return named

    def descriptors(self) -> int:
        """Sockets open now, for a process with a limit."""
        return (
            3
            + len(self.calls.connections)
            + len(self.calls.subscriptions)
            + len(self.gossip.extra_transports)
        )

    async def leave(self) -> None:
        """Say `left` to all; nothing is said after it. Calls and feeds go on until `close`."""
        if self.rejoin_timer is not None:
            self.rejoin_timer.cancel()
        if self.member is None or self.state == "left":
            return
        goodbye = self.member.leave(self.loop.time())
        if self.state != "superseded":
            self.state = "left"
        for number in range(LEAVE_SENDS if goodbye else 0):
            if number:
                await asyncio.sleep(LEAVE_INTERVAL_S)
            self.gossip.perform(goodbye)

    def close(self) -> None:
        """End everything; may be called at any time, more than once."""
        if self.rejoin_timer is not None:
            self.rejoin_timer.cancel()
        self.tasks.cancel()
        self.gossip.close()
        self.calls.close()
