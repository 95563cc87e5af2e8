"""Membership's pure core: the order of what is said about members, Lifeguard's timings, the probe cycle.

Follows docs/membership.md: SWIM (Das, Gupta, Motivala, 2002) for the states, their order and the probe
cycle, Lifeguard (Dadgar, Phillips, Currey, 2018) for the local health multiplier, the suspicion timeouts
that shrink with independent confirmations, nacks and the buddy system, memberlist's documented queue for
piggybacked rumours. No clock and no socket: times are passed in, in seconds; messages come in and go out
as the dataclasses below, and `cloverkeel.fleet.gossip` puts them on UDP.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from enum import Enum


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# At one incarnation a later state beats an earlier one; a graceful leave tells more than a death.
RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 3}


@dataclass(slots=True, frozen=True)
class Rumour:
    """What one member says of another, or of itself: its name, where it is heard, incarnation and state."""

    name: str
    address: str
    incarnation: int
    status: Status

    @property
    def order(self) -> tuple[int, int, str]:
        """A total order: two processes that claim one name at one incarnation are told apart by address."""
        return self.incarnation, RANK[self.status], self.address


def supersedes(new: Rumour, old: Rumour | None) -> bool:
    """Whether `new` replaces `old`: a higher incarnation always; at the same one, a later state (`RANK`).

    A member that starts again comes back with a higher incarnation than any its old self had, so that its
    old death does not outlive it.
    """
    return old is None or new.order > old.order


@dataclass(slots=True)
class View:
    """One member's view of all: the newest rumour of each name. `merge` is commutative and idempotent, so
    that views that heard the same rumours in any order, or twice, end alike."""

    me: Rumour
    members: dict[str, Rumour] = field(default_factory=dict)

    def merge(self, rumour: Rumour) -> Rumour | None:
        """Take a rumour; returns what this view now says where it changed, else None. A rumour that this
        member is suspect, dead or gone at its present incarnation is refuted: it is alive at the next."""
        if rumour.name == self.me.name:
            if rumour.status is not Status.ALIVE and rumour.incarnation >= self.me.incarnation:
                self.me = replace(self.me, incarnation=rumour.incarnation + 1)
                return self.me
            return None
        known = self.members.get(rumour.name)
        if not supersedes(rumour, known):
            return None
        self.members[rumour.name] = rumour
        return rumour


def suspicion_timeout_s(
    members: int, confirmations: int, probe_interval_s: float, alpha: float, beta: float, expected: int = 3
) -> float:
    """Seconds a suspect has before it is declared dead (Lifeguard, section IV.B).

    From `beta` times the minimum down to the minimum `alpha * log10(members) * probe_interval_s`, by
    `log(confirmations + 1) / log(expected + 1)` of the way: each member that suspects it independently
    shortens the wait, and `expected` of them bring it to the minimum. `members` counts at least 2.
    """
    least = alpha * math.log10(max(members, 2)) * probe_interval_s
    most = beta * least
    share = math.log(max(confirmations, 0) + 1) / math.log(expected + 1)
    return max(least, most - (most - least) * share)


@dataclass(slots=True)
class LocalHealth:
    """Lifeguard's local health multiplier (section IV.A): 0 is healthy, `most` the slowest it goes.

    Probe interval and timeout are multiplied by `scale`, so that a member that is itself slow asks less
    and waits longer before it suspects others.
    """

    most: int = 8
    score: int = 0

    def worse(self) -> None:
        """A probe of ours failed, a helper sent no nack, or we had to refute a suspicion of ourselves."""
        self.score = min(self.most, self.score + 1)

    def better(self) -> None:
        """A probe of ours was answered."""
        self.score = max(0, self.score - 1)

    @property
    def scale(self) -> int:
        return self.score + 1


@dataclass(slots=True)
class Broadcasts:
    """Rumours that wait to ride on outgoing messages (SWIM's piggybacking, section 4.1).

    One a name: a newer rumour of a name replaces the one before, sent or not. Each goes out at most `limit`
    times; those sent least go first, and among them the newest, as memberlist's transmit-limited queue does.
    """

    waiting: dict[str, tuple[int, int, Rumour]] = field(default_factory=dict)  # name: times sent, stamp, it
    stamp: int = 0

    def add(self, rumour: Rumour) -> None:
        self.stamp += 1
        self.waiting[rumour.name] = (0, self.stamp, rumour)

    def take(self, budget: int, size: Callable[[Rumour], int], limit: int) -> list[Rumour]:
        """As many as fit in `budget` bytes by `size`, in the order above; each taken counts as sent once."""
        chosen: list[Rumour] = []
        for sent, stamp, rumour in sorted(self.waiting.values(), key=lambda w: (w[0], -w[1])):
            cost = size(rumour)
            if cost > budget:
                continue
            budget -= cost
            chosen.append(rumour)
            if sent + 1 >= limit:
                del self.waiting[rumour.name]
            else:
                self.waiting[rumour.name] = (sent + 1, stamp, rumour)
        return chosen


def retransmits(mult: int, members: int) -> int:
    """How many times a rumour rides on messages before it is dropped: `mult * ceil(log2(members + 1))`."""
    return mult * math.ceil(math.log2(members + 1))


@dataclass(slots=True, frozen=True)
class Timing:
    """The protocol's settings, in seconds but for counts (docs/membership.md, "Defaults")."""

    probe_interval_s: float = 0.2
    probe_timeout_s: float = 0.1
    indirect_checks: int = 3
    suspicion_alpha: float = 2.0
    suspicion_beta: float = 6.0
    retransmit_mult: int = 4
    push_pull_s: float = 5.0
    reap_after_s: float = 30.0
    join_wait_s: float = 1.0
    datagram_bytes: int = 1400


# The messages (docs/membership.md, "Messages"). Each carries its sender's own rumour, so that a member that
# never heard of the sender can answer it, and the rumours that ride on it.
@dataclass(slots=True, frozen=True)
class Ping:
    seq: int
    sender: Rumour
    target: str
    rumours: tuple[Rumour, ...] = ()
    suspect: bool = False  # Lifeguard's buddy system: the sender holds the target suspect


@dataclass(slots=True, frozen=True)
class Ack:
    seq: int
    sender: Rumour
    rumours: tuple[Rumour, ...] = ()


@dataclass(slots=True, frozen=True)
class PingReq:
    seq: int
    sender: Rumour
    target: Rumour
    rumours: tuple[Rumour, ...] = ()


@dataclass(slots=True, frozen=True)
class Nack:
    seq: int
    sender: Rumour
    rumours: tuple[Rumour, ...] = ()


@dataclass(slots=True, frozen=True)
class Push:
    """A whole view, or a part of it where it does not fit one datagram; `reply` asks for the other's."""

    sender: Rumour
    rumours: tuple[Rumour, ...] = ()
    reply: bool = False


@dataclass(slots=True, frozen=True)
class Join:
    """A joining member asks for a view before it says it is there: its own rumour is not merged, so that a
    name already held elsewhere is found out (and refused) before the claim spreads."""

    sender: Rumour
    rumours: tuple[Rumour, ...] = ()


Message = Ping | Ack | PingReq | Nack | Push | Join


# What the core asks of its shell.
@dataclass(slots=True, frozen=True)
class Send:
    address: str
    message: Message


@dataclass(slots=True, frozen=True)
class Changed:
    """This member's view of `rumour.name` changed; `before` is what it held (None: not known)."""

    rumour: Rumour
    before: Rumour | None
    reason: str


@dataclass(slots=True, frozen=True)
class Refused:
    """Another process holds this member's name; `by` is what was heard of it. `joining` says whether this
    member was refused at its join (the name is taken) or taken over later (its successor of an upgrade, or
    another process that was let take it over); either way it says nothing more."""

    by: Rumour
    joining: bool


@dataclass(slots=True, frozen=True)
class Alone:
    """No seed answered within the join wait: the member runs alone and keeps asking its seeds."""

    seeds: tuple[str, ...]


Action = Send | Changed | Refused | Alone
RUMOUR_BYTES = 24  # msgpack framing of one rumour besides its name and address, rounded up


def rumour_bytes(rumour: Rumour) -> int:
    return RUMOUR_BYTES + len(rumour.name) + len(rumour.address)


@dataclass(slots=True)
class _Probe:
    seq: int
    target: Rumour
    deadline_s: float  # no ack by then: ask others
    ends_s: float  # no ack by then: suspect
    acked: bool = False
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class _Relay:
    """A ping sent for another member's `ping_req`: its ack goes back to `asker` under the asker's `seq`."""

    asker: str
    seq: int
    nack_s: float
    ends_s: float


class Member:
    """One member's protocol: `start`, then `tick` and `receive` with the time passed in, each giving actions.

    `me` is this member's own rumour (alive, its incarnation); `seeds` are addresses to ask at the start and
    while alone; `take_over` says that this process follows an older one of the same name (an upgrade), so
    that the name held at another address is taken rather than refused. `rng` makes the choices of whom to
    probe; a seeded one makes a run repeat. Raises nothing: every message is judged on its fields.
    """

    def __init__(
        self,
        me: Rumour,
        timing: Timing,
        seeds: tuple[str, ...] = (),
        take_over: bool = False,
        rng: random.Random | None = None,
    ) -> None:
        self.view = View(me)
        self.timing = timing
        self.seeds = tuple(s for s in seeds if s != me.address)
        self.take_over = take_over
        self.rng = rng or random.Random()
        self.health = LocalHealth()
        self.broadcasts = Broadcasts()
        self.suspicions: dict[str, tuple[float, set[str]]] = {}  # name: since_s, who suspected it
        self.gone_since: dict[str, float] = {}  # dead or left: since_s
        self.joining_until_s: float | None = None
        self.refused = False
        self.order: list[str] = []
        self.probe: _Probe | None = None
        self.relays: dict[int, _Relay] = {}
        self.seq = 0
        self.next_probe_s = 0.0
        self.next_push_s = 0.0

    @property
    def me(self) -> Rumour:
        return self.view.me

    @property
    def left(self) -> bool:
        return self.me.status is Status.LEFT

    def members(self) -> dict[str, Rumour]:
        """Every member this one knows, itself included: name to rumour."""
        return {self.me.name: self.me} | self.view.members

    def _live(self) -> list[Rumour]:
        return [r for r in self.view.members.values() if r.status in (Status.ALIVE, Status.SUSPECT)]

    def _count(self) -> int:
        return len(self._live()) + 1

    def _next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def _riders(self, used: int) -> tuple[Rumour, ...]:
        limit = retransmits(self.timing.retransmit_mult, self._count())
        budget = self.timing.datagram_bytes - used
        return tuple(self.broadcasts.take(budget, rumour_bytes, limit))

    def _send(self, address: str, make: Callable[[tuple[Rumour, ...]], Message]) -> Send:
        used = 64 + 2 * rumour_bytes(self.me)
        return Send(address, make(self._riders(used)))

    def start(self, now_s: float) -> list[Action]:
        """Say who this member is and ask the seeds for their views."""
        self.broadcasts.add(self.me)
        self.next_probe_s = now_s + self.timing.probe_interval_s
        self.next_push_s = now_s + self.timing.push_pull_s
        if not self.seeds:
            return []
        self.joining_until_s = now_s + self.timing.join_wait_s
        return [Send(seed, Join(self.me)) for seed in self.seeds]

    def leave(self, now_s: float) -> list[Action]:
        """A graceful leave: `left` at this member's own incarnation, told at once to every live member."""
        if self.refused or self.left:
            return []
        self.view.me = replace(self.me, status=Status.LEFT)
        return [Send(r.address, Push(self.me, (self.me,))) for r in self._live()]

    def _learn(self, rumour: Rumour, now_s: float, source: str) -> list[Action]:
        if rumour.name == self.me.name:
            return self._about_me(rumour)
        before = self.view.members.get(rumour.name)
        if (
            before is not None
            and rumour.status is Status.SUSPECT
            and before.order == rumour.order
            and rumour.name in self.suspicions
        ):
            since_s, by = self.suspicions[rumour.name]
            if source not in by:  # an independent confirmation shortens the wait (Lifeguard IV.B)
                by.add(source)
                self.broadcasts.add(rumour)
            return []
        if self.view.merge(rumour) is None:
            return []
        self.broadcasts.add(rumour)
        if rumour.status is Status.SUSPECT:
            self.suspicions[rumour.name] = (now_s, {source})
        else:
            self.suspicions.pop(rumour.name, None)
        if rumour.status in (Status.DEAD, Status.LEFT):
            self.gone_since[rumour.name] = now_s
        else:
            self.gone_since.pop(rumour.name, None)
        if rumour.name not in self.order and rumour.status in (Status.ALIVE, Status.SUSPECT):
            self.order.insert(self.rng.randrange(len(self.order) + 1), rumour.name)
        return [Changed(rumour, before, f"heard from {source}")]

    def _about_me(self, rumour: Rumour) -> list[Action]:
        if self.left or self.refused:
            return []
        if rumour.address != self.me.address and rumour.status in (Status.ALIVE, Status.SUSPECT):
            joining = self.joining_until_s is not None
            if joining and self.take_over:  # our older self, in an upgrade: outrank it
                incarnation = max(self.me.incarnation, rumour.incarnation + 1)
                self.view.me = replace(self.me, incarnation=incarnation)
                self.broadcasts.add(self.me)
                return []
            if not joining and rumour.order < self.me.order:
                return []
            self.refused = True
            return [Refused(rumour, joining)]
        before = self.me
        if self.view.merge(rumour) is None:
            return []
        self.health.worse()
        self.broadcasts.add(self.me)
        return [Changed(self.me, before, f"refuted {rumour.status.value} at {rumour.incarnation}")]

    def receive(self, message: Message, now_s: float) -> list[Action]:
        """Take one message; what it says of members is merged, then it is answered as SWIM says."""
        if self.left or self.refused:
            return []
        sender = message.sender
        if isinstance(message, Join):
            return self._push_to(sender.address, reply=False)
        actions: list[Action] = []
        for rumour in (*message.rumours, sender):  # a view's answer to our join is judged before we join
            actions += self._learn(rumour, now_s, sender.name)
            if self.refused:
                return actions
        if self.joining_until_s is not None and isinstance(message, Push) and sender.name != self.me.name:
            self.joining_until_s = None
        if isinstance(message, Ping):
            if message.target == self.me.name:
                if message.suspect:
                    actions += self._about_me(replace(self.me, status=Status.SUSPECT))
                actions.append(self._send(sender.address, lambda r: Ack(message.seq, self.me, r)))
        elif isinstance(message, Ack):
            probe = self.probe
            relay = self.relays.pop(message.seq, None)
            if probe is not None and probe.seq == message.seq and not probe.acked:
                probe.acked = True
                self.health.better()
            elif relay is not None:
                asker = self.view.members.get(relay.asker)
                if asker is not None:
                    actions.append(self._send(asker.address, lambda r: Ack(relay.seq, self.me, r)))
        elif isinstance(message, PingReq):
            seq = self._next_seq()
            timeout_s = self.timing.probe_timeout_s
            nack_s, ends_s = now_s + 0.8 * timeout_s, now_s + 2 * timeout_s
            self.relays[seq] = _Relay(sender.name, message.seq, nack_s, ends_s)
            target = message.target
            actions.append(self._send(target.address, lambda r: Ping(seq, self.me, target.name, r)))
        elif isinstance(message, Nack):
            if self.probe is not None and self.probe.seq == message.seq:
                self.probe.nacks += 1
        elif message.reply:
            actions += self._push_to(sender.address, reply=False)
        return actions

    def _push_to(self, address: str, reply: bool) -> list[Action]:
        """The whole view, in as many datagrams as it takes."""
        sends: list[Action] = []
        part: list[Rumour] = []
        used = 64 + rumour_bytes(self.me)
        for rumour in self.members().values():
            if part and used + rumour_bytes(rumour) > self.timing.datagram_bytes:
                sends.append(Send(address, Push(self.me, tuple(part), reply)))
                part, used = [], 64 + rumour_bytes(self.me)
            part.append(rumour)
            used += rumour_bytes(rumour)
        sends.append(Send(address, Push(self.me, tuple(part), reply)))
        return sends

    def tick(self, now_s: float) -> list[Action]:
        """Move the probe cycle, the suspicions, push-pull and reaping on to `now_s`."""
        if self.left or self.refused:
            return []
        actions: list[Action] = []
        if self.joining_until_s is not None and now_s >= self.joining_until_s:
            self.joining_until_s = None
            if not self._live():
                actions.append(Alone(self.seeds))
        actions += self._probe_step(now_s)
        actions += self._suspicion_step(now_s)
        for seq, relay in list(self.relays.items()):
            if now_s >= relay.ends_s:
                del self.relays[seq]
            elif now_s >= relay.nack_s and relay.nack_s >= 0:
                asker = self.view.members.get(relay.asker)
                relay.nack_s = -1.0
                if asker is not None:
                    actions.append(self._nack(asker.address, relay.seq))
        if now_s >= self.next_push_s:
            self.next_push_s = now_s + self.timing.push_pull_s
            live = self._live()
            if live:
                actions += self._push_to(self.rng.choice(live).address, reply=True)
            else:
                actions += [Send(seed, Push(self.me, (self.me,), reply=True)) for seed in self.seeds]
        for name, since_s in list(self.gone_since.items()):
            if now_s - since_s >= self.timing.reap_after_s:
                del self.gone_since[name]
                self.view.members.pop(name, None)
        return actions

    def _nack(self, address: str, seq: int) -> Send:
        return self._send(address, lambda r: Nack(seq, self.me, r))

    def _probe_step(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        probe, scale = self.probe, self.health.scale
        if probe is not None and not probe.acked:
            if now_s >= probe.ends_s:
                self.probe = None
                if probe.asked and probe.nacks < probe.asked:
                    self.health.worse()  # a helper that sends no nack: our own network may be at fault
                self.health.worse()
                actions += self._suspect(probe.target.name, now_s)
            elif now_s >= probe.deadline_s and not probe.asked:
                helpers = [r for r in self._live() if r.name != probe.target.name]
                chosen = self.rng.sample(helpers, min(self.timing.indirect_checks, len(helpers)))
                probe.asked = len(chosen)
                target = self.view.members.get(probe.target.name, probe.target)
                seq = probe.seq
                for helper in chosen:
                    actions.append(self._send(helper.address, lambda r: PingReq(seq, self.me, target, r)))
        if now_s < self.next_probe_s:
            return actions
        self.next_probe_s = now_s + self.timing.probe_interval_s * scale
        pick = self._next_target()
        if pick is None:
            return actions
        seq = self._next_seq()
        timeout_s = self.timing.probe_timeout_s * scale
        self.probe = _Probe(seq, pick, now_s + timeout_s, self.next_probe_s)
        suspect = pick.status is Status.SUSPECT
        actions.append(self._send(pick.address, lambda r: Ping(seq, self.me, pick.name, r, suspect)))
        return actions

    def _next_target(self) -> Rumour | None:
        """Round-robin over a list shuffled anew on each pass, as SWIM's section 4.3 says."""
        for _ in range(2):
            while self.order:
                rumour = self.view.members.get(self.order.pop())
                if rumour is not None and rumour.status in (Status.ALIVE, Status.SUSPECT):
                    return rumour
            self.order = [r.name for r in self._live()]
            self.rng.shuffle(self.order)
        return None

    def _suspect(self, name: str, now_s: float) -> list[Action]:
        known = self.view.members.get(name)
        if known is None or known.status is not Status.ALIVE:
            return []
        return self._learn(replace(known, status=Status.SUSPECT), now_s, self.me.name)

    def _suspicion_step(self, now_s: float) -> list[Action]:
        actions: list[Action] = []
        t = self.timing
        for name, (since_s, by) in list(self.suspicions.items()):
            wait_s = suspicion_timeout_s(
                self._count(), len(by) - 1, t.probe_interval_s, t.suspicion_alpha, t.suspicion_beta
            )
            known = self.view.members.get(name)
            if now_s - since_s >= wait_s and known is not None:
                actions += self._learn(replace(known, status=Status.DEAD), now_s, self.me.name)
        return actions
