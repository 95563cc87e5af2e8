"""The gateway's membership: connects the protocol core, the gossip over UDP and the calls between members."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from cloverkeel.fleet import invariants
from cloverkeel.fleet.cluster import ClusterSettings
from cloverkeel.fleet.events import event
from cloverkeel.fleet.membership.bind import bind_udp, open_sockets
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
    ExchangeViews,
    MemberChanged,
    NameConflict,
    NoSeedAnswered,
    Push,
)
from cloverkeel.fleet.membership.roster import LIVE_STATUSES
from cloverkeel.fleet.membership.updates import MemberUpdate, Status
from cloverkeel.tasks import BackgroundTasks

VIEW_CALL = "members.view"  # call that exchanges full views
VIEW_TIMEOUT_S = 2.0
NAME_CALL = "members.name"  # call that asks a member for its name
NAME_TIMEOUT_S = 1.0  # short: the machine of a killed process refuses the connection at once
MAX_CONCURRENT_EXCHANGES = 8  # an exchange beyond them is skipped; the next push-pull makes up for it
MAX_LOG_LINES_PER_S = 20  # about changes of members; a fleet that starts at once has more
LEAVE_SENDS, LEAVE_INTERVAL_S = 2, 0.03  # a leave is sent twice, as a datagram may be lost

Listener = Callable[[MemberUpdate, MemberUpdate | None], None]


class Membership:
    """This process as a member of the cluster `settings.name`.

    `name`, `zone`: the gateway's. `incarnation`: higher than any that the name had before. `take_over`: this
    is the new process of an upgrade. `joined` is set once another member has been heard, no seed has answered
    in time, or the name turns out to be taken. From `start` on, `address` is the member's own address, at
    which `calls` serves.
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
        # Address of the older process, if it still holds the configured port.
        self.older_addresses: tuple[str, ...] = ()
        self.state = "starting"  # joining, alone, member, name_taken, superseded, left
        self.member: Member | None = None
        self.listeners: list[Listener] = []
        self.counts: Counter[str] = Counter()
        self.last_changed_s: dict[str, float] = {}  # by member, on the loop's clock
        self.logged_holder = ""  # last logged address of another process with this name
        self.tasks = BackgroundTasks()
        self.rejoin_timer: asyncio.TimerHandle | None = None
        self.lines_in_window, self.log_window_s = 0, 0.0  # log lines in the current second, and its start
        self.loop = asyncio.get_running_loop()

    async def start(self) -> None:
        """Bind the sockets and begin to join; `joined` is set later. Raises OSError if the bind fails."""
        host, port = self.settings.bind_address
        udp, tcp = open_sockets(host, port, self.take_over)
        bound_port, advertised = udp.getsockname()[1], self.settings.advertise
        elsewhere = port not in (0, bound_port)  # in an upgrade the older process holds the configured port
        if elsewhere:
            self.older_addresses = (advertised or format_address(host, port),)
        if advertised and elsewhere:
            advertised = format_address(parse_address(advertised)[0], bound_port)
        self.address = advertised or format_address(host, bound_port)
        await self.calls.listen(tcp)
        await self.gossip.open(udp)
        if elsewhere:  # the older process knows the whole fleet, so it serves as a seed
            self.seeds = tuple(dict.fromkeys((*self.seeds, self.settings.bind)))
            self.tasks.spawn(self._listen_at_configured(host, port))
        self._join()

    async def _listen_at_configured(self, host: str, port: int) -> None:
        """Receive at the configured address, where joining members ask, once the older process has ended."""
        while True:
            await asyncio.sleep(self.settings.join_wait_s)
            try:
                await self.gossip.open_extra(bind_udp(host, port))
                return
            except OSError:
                continue

    def _join(self, take_over: bool = False) -> None:
        """Start a new core, which contacts the seeds."""
        me = MemberUpdate(self.name, self.address, self.incarnation, Status.ALIVE, self.zone)
        settings = self.settings
        kind = CheckedMember if invariants.ON else Member
        take_over = take_over or self.take_over
        self.member = kind(me, settings.timing, self.seeds, take_over, self.rng, self.older_addresses)
        self.state = "joining"
        self.gossip.run_member(self.member)
        if self.member.joining_until_s is None:
            self._on_alone("no seeds are named in the configuration")

    # Actions of the core

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
        """Count, log and report a change of the view."""
        update, previous = action.update, action.previous
        self.last_changed_s[update.name] = self.loop.time()
        if len(self.last_changed_s) > 2 * len(self.view()) + 16:  # most are about reaped members
            known = self.view()
            self.last_changed_s = {name: at_s for name, at_s in self.last_changed_s.items() if name in known}
            self.gossip.retain_members(known)
        if update.name == self.name:
            self.counts["refutations"] += 1
            self._log_limited("members.refuted", incarnation=update.incarnation, reason=action.reason)
        elif previous is None or previous.status is not update.status:
            kind = update.status.value
            self.counts[f"seen_{kind}"] += 1
            self._log_limited(
                f"members.{kind}", member=update.name, address=update.address, incarnation=update.incarnation,
                reason=action.reason,
            )  # fmt: skip
        if self.state in ("joining", "alone") and update.status in LIVE_STATUSES and update.name != self.name:
            self._on_joined()
        self._notify_listeners(update, previous)

    def _notify_listeners(self, update: MemberUpdate, previous: MemberUpdate | None) -> None:
        for listener in list(self.listeners):
            listener(update, previous)

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
        holder = action.holder
        if not action.joining:
            self.state = "superseded"
            event("members.superseded", member=holder.name, by=holder.address, incarnation=holder.incarnation)
            return
        self.tasks.spawn(self._check_holder(holder))

    async def _check_holder(self, holder: MemberUpdate) -> None:
        """Ask the process that holds this member's name whether it is still there; take the name over if not.

        A process that is killed and restarted at once finds its name held by its predecessor, whose death the
        others have not noticed yet.
        """
        try:
            answer = await self.calls.call(holder.address, NAME_CALL, None, NAME_TIMEOUT_S)
        except CallFailed:
            answer = None
        if answer != self.name:
            event("members.name_free", member=holder.name, holder=holder.address,
                  incarnation=holder.incarnation)  # fmt: skip
            self._join(take_over=True)
            return
        self.state = "name_taken"
        if holder.address != self.logged_holder:
            self.logged_holder = holder.address
            event("members.name_taken", member=holder.name, holder=holder.address,
                  incarnation=holder.incarnation,
                  reason="another process has this name; trying to join again until it is gone")  # fmt: skip
        self.joined.set()
        self.rejoin_timer = self.loop.call_later(self.settings.push_pull_s, self._join)

    def _log_limited(self, name: str, **fields: object) -> None:
        """Log an event unless MAX_LOG_LINES_PER_S is exceeded; what was left out is logged as a number."""
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

    # Exchange of full views over a stream

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
        updates = updates_from_body(body)
        if not updates:
            raise DatagramError("malformed", "the view is empty")
        self.gossip.receive(Push(updates[0], tuple(updates[1:])))

    def _on_view(self, peer: str, body: Any) -> Any:
        self._merge_view_body(body)
        return self._view_body()

    # Interface for the gateway's other parts

    @property
    def name_taken(self) -> bool:
        """Whether another process holds this member's name, so that this one is not a member."""
        return self.state == "name_taken"

    def view(self) -> dict[str, MemberUpdate]:
        """All known members by name, this one included; only this one while its name is taken."""
        if self.member is None:
            return {}
        return {self.name: self.member.me} if self.name_taken else self.member.members()

    def live(self) -> list[MemberUpdate]:
        """The members that are alive or suspect, this one included, sorted by name."""
        return sorted((r for r in self.view().values() if r.status in LIVE_STATUSES), key=lambda r: r.name)

    def on_change(self, listener: Listener) -> None:
        """Register `listener(update, previous)`, called after each change of the view.

        This includes this member's own refutations. The listener must not raise.
        """
        self.listeners.append(listener)

    def table(self) -> list[dict[str, Any]]:
        """Rows of the member table.

        `heard_s` is the time since a member's last message to this one, or the last change of its entry.
        """
        now_s = self.loop.time()
        rows = []
        for name, r in sorted(self.view().items()):
            last_seen_s = max(self.gossip.last_heard_s.get(name, 0.0), self.last_changed_s.get(name, 0.0))
            heard_s = 0.0 if name == self.name else round(now_s - last_seen_s, 3)
            rows.append({
                "name": name, "zone": r.zone, "address": r.address, "status": r.status.value,
                "incarnation": r.incarnation, "heard_s": heard_s,
            })  # fmt: skip
        return rows

    def counters(self) -> dict[str, int]:
        """Counters since the start, for telemetry."""
        own, sent, calls = self.counts, self.gossip.counts, self.calls.counts
        named = {
            "probes": sent["probes"], "indirect_probes": sent["indirect_probes"],
            "suspicions": own["seen_suspect"], "refutations": own["refutations"],
            "deaths": own["seen_dead"], "leaves": own["seen_left"],
            "datagrams_in": sent["datagrams_in"], "datagrams_out": sent["datagrams_out"],
            "views_swapped": own["views_swapped"], "stalls": sent["stalls"],
        }  # fmt: skip
        for reason in ("malformed", "oversized", "version", "cluster", "unsendable", "failed"):
            named[f"datagrams_dropped_{reason}"] = sent[f"dropped_{reason}"]
        for reason in ("malformed", "oversized", "version", "cluster"):
            named[f"frames_dropped_{reason}"] = calls[f"frames_dropped_{reason}"]
        for key in ("calls_in", "calls_out", "calls_failed", "subscriptions", "connections_refused"):
            named[key] = calls[key]
        return named

    def descriptors(self) -> int:
        """Number of open sockets, for the process's limit of file descriptors."""
        return (
            3
            + len(self.calls.connections)
            + len(self.calls.subscriptions)
            + len(self.gossip.extra_transports)
        )

    async def leave(self) -> None:
        """Leave the cluster: inform all live members, then send no datagrams. Calls and feeds stay open."""
        if self.rejoin_timer is not None:
            self.rejoin_timer.cancel()
        if self.member is None or self.state == "left":
            return
        leave_actions = self.member.leave(self.loop.time())
        if self.state != "superseded":
            self.state = "left"
        for number in range(LEAVE_SENDS if leave_actions else 0):
            if number:
                await asyncio.sleep(LEAVE_INTERVAL_S)
            self.gossip.perform(leave_actions)

    def close(self) -> None:
        """Close all sockets and cancel all tasks; may be called at any time, and more than once."""
        if self.rejoin_timer is not None:
            self.rejoin_timer.cancel()
        self.tasks.cancel()
        self.gossip.close()
        self.calls.close()
