"""One member's protocol: joining, leaving, and the tick that moves everything on.

Follows docs/membership.md: SWIM (Das, Gupta, Motivala, 2002) for the states, their order and the probe
cycle, Lifeguard (Dadgar, Phillips, Currey, 2018) for the local health multiplier, the suspicion timeouts
that shrink with independent confirmations, nacks and the buddy system. No clock and no socket: times are
passed in, in seconds; messages come in and go out as dataclasses, and `gossip` puts them on UDP.
"""

from __future__ import annotations

import random
from dataclasses import replace

from cloverkeel.fleet.membership.messages import (
    Ack,
    Action,
    NoSeedAnswered,
    MemberChanged,
    ExchangeViews,
    Gossip,
    Join,
    Message,
    Nack,
    Ping,
    PingReq,
    Push,
    NameConflict,
    Send,
    Timing,
)
from cloverkeel.fleet.membership.probe import ProbeCycle
from cloverkeel.fleet.membership.roster import LIVE_STATUSES, Roster
from cloverkeel.fleet.membership.updates import MemberUpdate, Status, View

MAX_OUTRANKS = 4  # times that a successor raises its incarnation above its older self's


class Member:
    """`start`, then `tick` and `receive` with the time passed in, each giving actions.

    `me` is this member's own rumour (alive, its incarnation); `seeds` are addresses to ask at the start and
    while alone; `take_over` says that this process follows an older one of the same name (an upgrade), so
    that the name held at another address is taken rather than refused; `older_addresses`, where that one is known to
    be heard, though the join may not find it. `rng` makes the choices of whom to probe; a seeded one makes a
    run repeat. Raises nothing: every message is judged on its fields.
    """

    def __init__(
        self,
        me: MemberUpdate,
        timing: Timing,
        seeds: tuple[str, ...] = (),
        take_over: bool = False,
        rng: random.Random | None = None,
        older_addresses: tuple[str, ...] = (),
    ) -> None:
        self.timing = timing
        self.seeds = tuple(s for s in seeds if s != me.address)
        self.take_over = take_over
        self.rng = rng or random.Random()
        self.roster = Roster(me, timing, self.rng)
        self.cycle = ProbeCycle(self.roster)
        self.joining_until_s: float | None = None
        self.name_confirmed = False  # another member has been heard since the join: the name is this one's
        self.refused = False
        self.older_addresses = set(older_addresses)  # where the processes are heard that this one takes over from
        self.outrank_count = 0  # how often it had to outrank them
        self.next_push_s = self.next_seed_contact_s = self.next_gossip_s = 0.0
        self.seed_contact_interval_s = (
            timing.probe_interval_s
        )  # between two calls to the seeds while nobody is known

    @property
    def me(self) -> MemberUpdate:
        return self.roster.me

    @property
    def view(self) -> View:
        return self.roster.view

    @property
    def left(self) -> bool:
        return self.me.status is Status.LEFT

    def members(self) -> dict[str, MemberUpdate]:
        """Every member this one knows, itself included: name to rumour."""
        return self.roster.members()

    def start(self, now_s: float) -> list[Action]:
        """Say who this member is and ask the seeds for their views."""
        self.roster.broadcasts.add(self.me)
        self.cycle.start(now_s)
        self.next_push_s = now_s + self.timing.push_pull_s
        if not self.seeds:
            return []
        self.joining_until_s = now_s + self.timing.join_wait_s
        return self._contact_seeds(now_s)

    def _contact_seeds(self, now_s: float) -> list[Action]:
        """While joining, again each probe interval; once alone, at gaps that double up to `push_pull_s`."""
        if self.joining_until_s is None:
            self.seed_contact_interval_s = min(2 * self.seed_contact_interval_s, self.timing.push_pull_s)
        self.next_seed_contact_s = now_s + self.seed_contact_interval_s
        if self.joining_until_s is not None:
            return [Send(seed, Join(self.me)) for seed in self.seeds]
        return [Send(seed, Push(self.me, (self.me,), reply=True)) for seed in self.seeds]

    def leave(self, now_s: float) -> list[Action]:
        """A graceful leave: `left` at this member's own incarnation, told at once to every live member."""
        if self.refused or self.left:
            return []
        self.view.me = replace(self.me, status=Status.LEFT)
        return [Send(r.address, Push(self.me, (self.me,))) for r in self.roster.live_others()]

    def _apply_update(self, rumour: MemberUpdate, now_s: float, source: str) -> list[Action]:
        if rumour.name == self.me.name:
            return self._handle_own_update(rumour, source)
        return self.roster.apply_update(rumour, now_s, source)

    def _handle_own_update(self, rumour: MemberUpdate, source: str) -> list[Action]:
        if self.left or self.refused:
            return []
        # Until another is met the name is but a claim; one that claims it by itself later is a successor.
        claims = self.joining_until_s is not None or not (self.name_confirmed or source == self.me.name)
        # Who is suspected there at no higher incarnation is no successor, but a claim that went.
        went = not claims and rumour.status is Status.SUSPECT and rumour.incarnation <= self.me.incarnation
        if rumour.address != self.me.address and rumour.status in LIVE_STATUSES and not went:
            if self._is_successor_of(rumour, claims):  # our older self, in an upgrade: outrank it
                self.older_addresses.add(rumour.address)
                if not claims and rumour.precedence < self.me.precedence:
                    return []
                # In leaps, each four times the last: where news is slow the older one goes on refuting.
                incarnation = max(self.me.incarnation, rumour.incarnation + 4**self.outrank_count)
                self.outrank_count += 1
                self.view.me = replace(self.me, incarnation=incarnation)
                self.roster.broadcasts.add(self.me)
                return []
            if not claims and rumour.precedence < self.me.precedence:
                return []
            self.refused = True
            return [NameConflict(rumour, joining=claims)]
        before = self.me
        if self.view.merge(rumour) is None:
            return []
        if rumour.status is not Status.ALIVE:
            self.roster.health.degrade()
        self.roster.broadcasts.add(self.me)
        return [MemberChanged(self.me, before, f"refuted {rumour.status.value} at {rumour.incarnation}")]

    def _is_successor_of(self, rumour: MemberUpdate, claims: bool) -> bool:
        """Whether `rumour` is of a process that this one takes over from: it refutes what is said of it until
        it hears of this one. Who comes after the join from another address is its own successor, though this
        one may have found nobody to follow (the first process on an inherited socket). Bounded, so that two
        that each follow the other do not go on for ever."""
        older = claims or rumour.address in self.older_addresses
        return self.take_over and older and self.outrank_count < MAX_OUTRANKS

    def receive(self, message: Message, now_s: float) -> list[Action]:
        """Take one message; what it says of members is merged, then it is answered as SWIM says."""
        if self.left or self.refused:
            return []
        sender, roster = message.sender, self.roster
        if isinstance(message, Join):
            return roster.push_view_to(sender.address, reply=False, first=sender.name)
        actions: list[Action] = []
        incarnation = self.me.incarnation
        for rumour in (*message.updates, sender):  # a view's answer to our join is judged before we join
            if isinstance(message, Push):
                if roster.is_reaped(rumour):
                    continue
                rumour = roster.death_as_suspicion(rumour)
            actions += self._apply_update(rumour, now_s, sender.name)
            if self.refused:
                return actions
        if sender.name != self.me.name and (isinstance(message, Push) or self.joining_until_s is None):
            self.joining_until_s, self.name_confirmed = None, True
        if isinstance(message, Ping):
            if message.target == self.me.name:
                if message.suspect and self.me.incarnation == incarnation:  # not yet refuted above
                    actions += self._handle_own_update(replace(self.me, status=Status.SUSPECT), sender.name)
                gone = roster.gone_update_of(sender)  # it hears so, and refutes it; nobody else is told
                told = (gone,) if gone is not None else ()
                ack = roster.send_with_updates(
                    sender.address, lambda r: Ack(message.seq, self.me, told + r), gone
                )
                actions.append(ack)
        elif isinstance(message, Ack):
            actions += self.cycle.on_ack(message)
        elif isinstance(message, PingReq):
            actions += self.cycle.on_ping_req(message, now_s)
        elif isinstance(message, Nack):
            self.cycle.on_nack(message)
        elif isinstance(message, Push) and message.reply:
            actions += roster.push_view_to(sender.address, reply=False)
        elif isinstance(message, Push) and message.truncated:
            actions.append(ExchangeViews(sender.address))
        return actions

    def tick(self, now_s: float) -> list[Action]:
        """Move the probe cycle, the suspicions, push-pull and reaping on to `now_s`."""
        if self.left or self.refused:
            return []
        actions: list[Action] = []
        if self.joining_until_s is not None and now_s >= self.joining_until_s:
            self.joining_until_s = None
            if not self.roster.live_others():
                actions.append(NoSeedAnswered(self.seeds))
        actions += self.cycle.step(now_s)
        actions += self.roster.expire_suspicions(now_s)
        actions += self.cycle.expire_indirect_pings(now_s)
        if not self.roster.live_others():
            if now_s >= self.next_seed_contact_s:
                actions += self._contact_seeds(now_s) + self._push_to_lost_member(())
        elif now_s >= self.next_push_s:
            self.next_push_s = now_s + self.timing.push_pull_s
            self.seed_contact_interval_s = self.timing.probe_interval_s
            actions += self.roster.push_view_to(
                self.rng.choice(self.roster.live_others()).address, reply=True
            )
            actions += self._push_to_lost_member(self.seeds)
        if self.roster.broadcasts.queued and now_s >= self.next_gossip_s:
            self.next_gossip_s = now_s + self.timing.gossip_interval_s
            actions += self._gossip()
        self.roster.reap(now_s)
        return actions

    def _gossip(self) -> list[Action]:
        """What waits to be passed on, to a few members chosen at random."""
        live = self.roster.live_others()
        chosen = self.rng.sample(live, min(self.timing.gossip_fanout, len(live)))
        sends = [
            self.roster.send_with_updates(r.address, lambda riders: Gossip(self.me, riders)) for r in chosen
        ]
        return [s for s in sends if s.message.updates]

    def _push_to_lost_member(self, seeds: tuple[str, ...]) -> list[Action]:
        """A view to one that is dead here, or to one of `seeds` that is not known, so that what a partition
        has parted meets again."""
        live = {r.address for r in self.roster.live_others()}
        dead = [r.address for r in self.view.members.values() if r.status is Status.DEAD]
        gone = dead + [seed for seed in seeds if seed not in live]
        if not gone:
            return []
        address = self.rng.choice(gone)
        held = tuple(r for r in self.view.members.values() if r.address == address)
        pushes = self.roster.push_view_to(address, reply=True)
        return pushes if isinstance(pushes[0], Send) else [Send(address, Push(self.me, held, reply=True))]

    def on_stall(self, for_s: float) -> None:
        """This process stood still for so long: nobody's silence meanwhile is held against them, and each
        whole probe period of it counts against this member's own health."""
        for _ in range(min(self.roster.health.max_score, int(for_s / self.timing.probe_interval_s))):
            self.roster.health.degrade()
        self.cycle.postpone(for_s)
        self.roster.postpone(for_s)
        if self.joining_until_s is not None:
            self.joining_until_s += for_s
