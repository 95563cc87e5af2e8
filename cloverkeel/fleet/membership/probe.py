"""The probe cycle: direct and indirect probes, nacks, and pings sent on others' behalf (SWIM section 4.1,
Lifeguard IV.A and IV.C)."""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.fleet.membership.messages import Ack, Action, Nack, Ping, PingReq
from cloverkeel.fleet.membership.roster import Roster
from cloverkeel.fleet.membership.updates import MemberUpdate, Status


@dataclass(slots=True)
class Probe:
    """The probe under way."""

    seq: int
    target: MemberUpdate
    ack_deadline_s: float  # no ack by then: ask others
    suspect_at_s: float  # no ack by then: suspect
    acked: bool = False
    indirect_count: int = 0
    nacks: int = 0


@dataclass(slots=True)
class IndirectPing:
    """A ping sent for another member's `PingReq`: its ack goes back to `asker` under the asker's `seq`."""

    requester: str
    seq: int
    nack_at_s: float
    expires_s: float


class ProbeCycle:
    """Whom this member probes, and what it does for others' probes."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.probe: Probe | None = None
        self.indirect_pings: dict[int, IndirectPing] = {}
        self.seq = 0
        self.next_probe_s = 0.0

    def start(self, now_s: float) -> None:
        self.next_probe_s = now_s + self.roster.timing.probe_interval_s

    def _next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def on_ack(self, message: Ack) -> list[Action]:
        roster, probe = self.roster, self.probe
        relay = self.indirect_pings.pop(message.seq, None)
        if probe is not None and probe.seq == message.seq and not probe.acked:
            probe.acked = True
            roster.health.improve()
        elif relay is not None:
            asker = roster.view.members.get(relay.requester)
            if asker is not None:
                return [roster.send_with_updates(asker.address, lambda r: Ack(relay.seq, roster.me, r))]
        return []

    def on_nack(self, message: Nack) -> None:
        if self.probe is not None and self.probe.seq == message.seq:
            self.probe.nacks += 1

    def on_ping_req(self, message: PingReq, now_s: float) -> list[Action]:
        """Ping the target for the asker."""
        roster, target = self.roster, message.target
        seq, timeout_s = self._next_seq(), roster.timing.probe_timeout_s
        nack_s, ends_s = now_s + 0.8 * timeout_s, now_s + 2 * timeout_s
        self.indirect_pings[seq] = IndirectPing(message.sender.name, message.seq, nack_s, ends_s)
        return [
            roster.send_with_updates(target.address, lambda r: Ping(seq, roster.me, target.name, r), target)
        ]

    def step(self, now_s: float) -> list[Action]:
        """Move this member's own probe on, and begin the next one when it is due."""
        actions: list[Action] = []
        roster, probe = self.roster, self.probe
        scale = roster.health.multiplier
        if probe is not None and not probe.acked:
            if now_s >= probe.suspect_at_s:
                self.probe = None
                held = roster.view.members.get(probe.target.name)
                others_agree = held is not None and held.status is Status.SUSPECT
                if not probe.nacks and not others_agree:
                    roster.health.degrade()  # nothing tells that the fault is not ours
                actions += roster.suspect(probe.target.name, now_s)
            elif now_s >= probe.ack_deadline_s and not probe.indirect_count:
                actions += self._send_indirect_probes(probe)
        if now_s < self.next_probe_s:
            return actions
        self.next_probe_s = now_s + roster.timing.probe_interval_s * scale
        pick = roster.next_target()
        if pick is None:
            return actions
        seq = self._next_seq()
        timeout_s = roster.timing.probe_timeout_s * scale
        self.probe = Probe(seq, pick, now_s + timeout_s, self.next_probe_s)
        suspect = pick.status is Status.SUSPECT
        actions.append(
            roster.send_with_updates(
                pick.address, lambda r: Ping(seq, roster.me, pick.name, r, suspect), pick
            )
        )
        return actions

    def _send_indirect_probes(self, probe: Probe) -> list[Action]:
        roster = self.roster
        helpers = [r for r in roster.live_others() if r.name != probe.target.name]
        well = [r for r in helpers if r.status is Status.ALIVE]
        if len(well) >= roster.timing.indirect_checks:
            helpers = well  # a suspect's silence tells nothing
        chosen = roster.rng.sample(helpers, min(roster.timing.indirect_checks, len(helpers)))
        probe.indirect_count = len(chosen)
        target = roster.view.members.get(probe.target.name, probe.target)

        def ask(rumours: tuple[MemberUpdate, ...]) -> PingReq:
            return PingReq(probe.seq, roster.me, target, rumours)

        return [roster.send_with_updates(helper.address, ask, target) for helper in chosen]

    def expire_indirect_pings(self, now_s: float) -> list[Action]:
        """Nacks for pings on others' behalf that are not acked in 80 % of the timeout."""
        actions: list[Action] = []
        roster = self.roster
        for seq, relay in list(self.indirect_pings.items()):
            if now_s >= relay.expires_s:
                del self.indirect_pings[seq]
            elif now_s >= relay.nack_at_s and relay.nack_at_s >= 0:
                relay.nack_at_s = -1.0
                asker = roster.view.members.get(relay.requester)
                if asker is not None:
                    actions.append(self._nack(asker.address, relay.seq))
        return actions

    def _nack(self, address: str, seq: int) -> Action:
        return self.roster.send_with_updates(address, lambda r: Nack(seq, self.roster.me, r))

    def postpone(self, for_s: float) -> None:
        if self.probe is not None:
            self.probe.ack_deadline_s += for_s
            self.probe.suspect_at_s += for_s
        for relay in self.indirect_pings.values():
            relay.expires_s += for_s
            if relay.nack_at_s >= 0:
                relay.nack_at_s += for_s
