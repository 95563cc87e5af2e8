"""The protocol core of one member: join, leave, received messages and the periodic tick.

Follows docs/membership.md: SWIM (Das, Gupta, Motivala, 2002) for the states, their order and the probe
cycle; Lifeguard (Dadgar, Phillips, Currey, 2018) for the local health multiplier, the suspicion timeouts
that shrink with independent confirmations, nacks and the buddy system. It uses no clock and no socket: times
are passed in, in seconds, messages are plain objects, and `gossip` sends and receives them over UDP.
"""

from __future__ import annotations

import random
from dataclasses import replace

from cloverkeel.fleet.membership.messages import (
    Ack,
    Action,
    ExchangeViews,
    Gossip,
    Join,
    MemberChanged,
    Message,
    Nack,
    NameConflict,
    NoSeedAnswered,
    Ping,
    PingReq,
    Push,
    Send,
    Timing,
)
from cloverkeel.fleet.membership.probe import ProbeCycle
from cloverkeel.fleet.membership.roster import LIVE_STATUSES, Roster
from cloverkeel.fleet.membership.updates import MemberUpdate, Status, View

MAX_OUTRANKS = 4  # times that a successor raises its incarnation above its predecessor's


class Member:
    """State machine of one member: `start` once, then `tick` and `receive`; each returns actions to perform.

    `me`: this member's own update (alive, with its incarnation). `seeds`: addresses to contact at the start
    and while no other member is known. `take_over`: this process succeeds an older one of the same name (an
    upgrade), so a name held at another address is taken over, not refused. `older_addresses`: where the older
    process is known to listen, in case the join does not find it. `rng` chooses whom to probe; a seeded one
    makes a run repeatable. No method raises on account of a message.
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
        self.joining_until_s: float | None = None  # end of the join wait; None when not joining
        self.name_confirmed = False  # another member was heard since the join, so the name is ours
        self.refused = False  # another process holds the name (`NameConflict`): this member sends nothing
        self.older_addresses = set(older_addresses)  # of the processes that this one takes over from
        self.outrank_count = 0  # times that this member had to outrank them
        self.next_push_s = self.next_seed_contact_s = self.next_gossip_s = 0.0
        # Wait between two contacts with the seeds while no other member is known.
        self.seed_contact_interval_s = timing.probe_interval_s

    @property
    def me(self) -> MemberUpdate:
        """This member's own update."""
        return self.roster.me

    @property
    def view(self) -> View:
        """What this member knows of the cluster."""
        return self.roster.view

    @property
    def left(self) -> bool:
        """Whether this member has left."""
        return self.me.status is Status.LEFT

    def members(self) -> dict[str, MemberUpdate]:
        """All known members by name, this one included."""
        return self.roster.members()

    def start(self, now_s: float) -> list[Action]:
        """Announce this member and ask the seeds for their views."""
        self.roster.broadcasts.add(self.me)
        self.cycle.start(now_s)
        self.next_push_s = now_s + self.timing.push_pull_s
        if not self.seeds:
            return []
        self.joining_until_s = now_s + self.timing.join_wait_s
        return self._contact_seeds(now_s)

    def _contact_seeds(self, now_s: float) -> list[Action]:
        """Contact the seeds: each probe interval while joining, then with a backoff up to `push_pull_s`."""
        if self.joining_until_s is None:
            self.seed_contact_interval_s = min(2 * self.seed_contact_interval_s, self.timing.push_pull_s)
        self.next_seed_contact_s = now_s + self.seed_contact_interval_s
        if self.joining_until_s is not None:
            return [Send(seed, Join(self.me)) for seed in self.seeds]
        return [Send(seed, Push(self.me, (self.me,), reply=True)) for seed in self.seeds]

    def leave(self, now_s: float) -> list[Action]:
        """Leave gracefully: send LEFT, at this member's incarnation, to every live member at once."""
        if self.refused or self.left:
            return []
        self.view.me = replace(self.me, status=Status.LEFT)
        return [Send(r.address, Push(self.me, (self.me,))) for r in self.roster.live_others()]

    def _apply_update(self, update: MemberUpdate, now_s: float, source: str) -> list[Action]:
        """Apply one received update."""
        if update.name == self.me.name:
            return self._handle_own_update(update, source)
        return self.roster.apply_update(update, now_s, source)

    def _handle_own_update(self, update: MemberUpdate, source: str) -> list[Action]:
        """Refute or outrank an update about this member's name, or give the name up."""
        if self.left or self.refused:
            return []
        # Until another member has been heard, this process only claims the name. After the join, an update
        # sent by a process of the same name is about a successor.
        claiming = self.joining_until_s is not None or not (self.name_confirmed or source == self.me.name)
        # A suspicion of another address at no higher incarnation is not about a successor: it is left over
        # from a process that claimed the name and has gone.
        is_stale_claim = (
            not claiming and update.status is Status.SUSPECT and update.incarnation <= self.me.incarnation
        )
        if update.address != self.me.address and update.status in LIVE_STATUSES and not is_stale_claim:
            if self._is_successor_of(update, claiming):  # the predecessor in an upgrade: outrank it
                self.older_addresses.add(update.address)
                if not claiming and update.precedence < self.me.precedence:
                    return []
                # Each step is four times the last: if updates spread slowly, the predecessor keeps refuting.
                incarnation = max(self.me.incarnation, update.incarnation + 4**self.outrank_count)
                self.outrank_count += 1
                self.view.me = replace(self.me, incarnation=incarnation)
                self.roster.broadcasts.add(self.me)
                return []
            if not claiming and update.precedence < self.me.precedence:
                return []
            self.refused = True
            return [NameConflict(update, joining=claiming)]
        previous = self.me
        if self.view.merge(update) is None:
            return []
        if update.status is not Status.ALIVE:
            self.roster.health.degrade()
        self.roster.broadcasts.add(self.me)
        return [MemberChanged(self.me, previous, f"refuted {update.status.value} at {update.incarnation}")]

    def _is_successor_of(self, update: MemberUpdate, claiming: bool) -> bool:
        """Whether `update` is about a process that this one takes over from.

        That process refutes updates about itself until it hears of this one. A process that appears at
        another address after the join is this one's own successor, even if this one found no predecessor (the
        first process on an inherited socket). The number of outranks is bounded, so that two processes that
        both consider themselves the successor do not go on for ever.
        """
        is_predecessor = claiming or update.address in self.older_addresses
        return self.take_over and is_predecessor and self.outrank_count < MAX_OUTRANKS

    def receive(self, message: Message, now_s: float) -> list[Action]:
        """Apply the updates that a message carries, then answer it as SWIM defines."""
        if self.left or self.refused:
            return []
        sender, roster = message.sender, self.roster
        if isinstance(message, Join):
            return roster.push_view_to(sender.address, reply=False, first=sender.name)
        actions: list[Action] = []
        incarnation = self.me.incarnation
        for update in (*message.updates, sender):  # a name conflict is detected before the join completes
            if isinstance(message, Push):
                if roster.is_reaped(update):
                    continue
                update = roster.death_as_suspicion(update)
            actions += self._apply_update(update, now_s, sender.name)
            if self.refused:
                return actions
        if sender.name != self.me.name and (isinstance(message, Push) or self.joining_until_s is None):
            self.joining_until_s, self.name_confirmed = None, True
        if isinstance(message, Ping):
            if message.target == self.me.name:
                if message.suspect and self.me.incarnation == incarnation:  # not refuted above
                    actions += self._handle_own_update(replace(self.me, status=Status.SUSPECT), sender.name)
                gone = roster.gone_update_of(sender)  # sent to the sender alone, which refutes it
                extra = (gone,) if gone is not None else ()
                ack = roster.send_with_updates(
                    sender.address, lambda r: Ack(message.seq, self.me, extra + r), gone
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
        """Advance probes, suspicions, push-pull, gossip and reaping to `now_s`."""
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
        """Send queued updates to `gossip_fanout` live members chosen at random."""
        live = self.roster.live_others()
        chosen = self.rng.sample(live, min(self.timing.gossip_fanout, len(live)))
        sends = [
            self.roster.send_with_updates(r.address, lambda updates: Gossip(self.me, updates)) for r in chosen
        ]
        return [s for s in sends if s.message.updates]

    def _push_to_lost_member(self, seeds: tuple[str, ...]) -> list[Action]:
        """Push the view to a member that is dead here, or to one of `seeds` that is not live.

        This is how the sides of a healed partition find each other again.
        """
        live = {r.address for r in self.roster.live_others()}
        dead = [r.address for r in self.view.members.values() if r.status is Status.DEAD]
        gone = dead + [seed for seed in seeds if seed not in live]
        if not gone:
            return []
        address = self.rng.choice(gone)
        known = tuple(r for r in self.view.members.values() if r.address == address)
        pushes = self.roster.push_view_to(address, reply=True)
        return pushes if isinstance(pushes[0], Send) else [Send(address, Push(self.me, known, reply=True))]

    def on_stall(self, for_s: float) -> None:
        """Account for `for_s` seconds in which this process did not run.

        All deadlines move back, so that no member is suspected for being unheard meanwhile, and each whole
        probe interval counts against this member's local health.
        """
        for _ in range(min(self.roster.health.max_score, int(for_s / self.timing.probe_interval_s))):
            self.roster.health.degrade()
        self.cycle.postpone(for_s)
        self.roster.postpone(for_s)
        if self.joining_until_s is not None:
            self.joining_until_s += for_s
