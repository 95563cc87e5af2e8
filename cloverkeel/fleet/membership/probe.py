"""Failure detection: direct and indirect probes, nacks, and pings on behalf of other members.

Follows SWIM, section 4.1, and Lifeguard, sections IV.A and IV.C.
"""

from __future__ import annotations

from dataclasses import dataclass

from cloverkeel.fleet.membership.messages import Ack, Action, Nack, Ping, PingReq
from cloverkeel.fleet.membership.roster import Roster
from cloverkeel.fleet.membership.updates import MemberUpdate, Status


@dataclass(slots=True)
class Probe:
    """This member's probe in progress."""

    seq: int
    target: MemberUpdate
    ack_deadline_s: float  # without an ack by then, indirect probes are sent
    suspect_at_s: float  # without an ack by then, the target is suspected
    acked: bool = False
    indirect_count: int = 0  # members asked to probe indirectly
    nacks: int = 0  # members that answered that they got no ack either


@dataclass(slots=True)
class IndirectPing:
    """A ping sent for another member's `PingReq`; the ack goes back to `requester` under its own `seq`."""

    requester: str
    seq: int
    nack_at_s: float  # negative once the nack has been sent
    expires_s: float


class ProbeCycle:
    """Probes members one after the other, and pings targets for the probes of other members."""

    def __init__(self, roster: Roster) -> None:
        self.roster = roster
        self.probe: Probe | None = None
        self.indirect_pings: dict[int, IndirectPing] = {}
        self.seq = 0
        self.next_probe_s = 0.0

    def start(self, now_s: float) -> None:
        """Schedule the first probe."""
        self.next_probe_s = now_s + self.roster.timing.probe_interval_s

    def _next_seq(self) -> int:
        self.seq += 1
        return self.seq

    def on_ack(self, message: Ack) -> list[Action]:
        """Complete this member's probe, or pass the ack on to the member that requested an indirect probe."""
        roster, probe = self.roster, self.probe
        indirect_ping = self.indirect_pings.pop(message.seq, None)
        if probe is not None and probe.seq == message.seq and not probe.acked:
            probe.acked = True
            roster.health.improve()
        elif indirect_ping is not None:
            requester = roster.view.members.get(indirect_ping.requester)
            if requester is not None:
                return [
                    roster.send_with_updates(
                        requester.address, lambda r: Ack(indirect_ping.seq, roster.me, r)
                    )
                ]
        return []

    def on_nack(self, message: Nack) -> None:
        """Count a nack for the probe in progress."""
        if self.probe is not None and self.probe.seq == message.seq:
            self.probe.nacks += 1

    def on_ping_req(self, message: PingReq, now_s: float) -> list[Action]:
        """Ping the target on behalf of the sender."""
        roster, target = self.roster, message.target
        seq, timeout_s = self._next_seq(), roster.timing.probe_timeout_s
        nack_at_s, expires_s = now_s + 0.8 * timeout_s, now_s + 2 * timeout_s
        self.indirect_pings[seq] = IndirectPing(message.sender.name, message.seq, nack_at_s, expires_s)
        return [
            roster.send_with_updates(target.address, lambda r: Ping(seq, roster.me, target.name, r), target)
        ]

    def step(self, now_s: float) -> list[Action]:
        """Advance this member's probe, and start the next one when it is due."""
        actions: list[Action] = []
        roster, probe = self.roster, self.probe
        multiplier = roster.health.multiplier
        if probe is not None and not probe.acked:
            if now_s >= probe.suspect_at_s:
                self.probe = None
                known = roster.view.members.get(probe.target.name)
                others_agree = known is not None and known.status is Status.SUSPECT
                if not probe.nacks and not others_agree:
                    roster.health.degrade()  # no sign that the fault is not ours
                actions += roster.suspect(probe.target.name, now_s)
            elif now_s >= probe.ack_deadline_s and not probe.indirect_count:
                actions += self._send_indirect_probes(probe)
        if now_s < self.next_probe_s:
            return actions
        self.next_probe_s = now_s + roster.timing.probe_interval_s * multiplier
        target = roster.next_target()
        if target is None:
            return actions
        seq = self._next_seq()
        timeout_s = roster.timing.probe_timeout_s * multiplier
        self.probe = Probe(seq, target, now_s + timeout_s, self.next_probe_s)
        suspect = target.status is Status.SUSPECT
        actions.append(
            roster.send_with_updates(
                target.address, lambda r: Ping(seq, roster.me, target.name, r, suspect), target
            )
        )
        return actions

    def _send_indirect_probes(self, probe: Probe) -> list[Action]:
        """Ask up to `indirect_checks` other members to probe the target."""
        roster = self.roster
        helpers = [r for r in roster.live_others() if r.name != probe.target.name]
        alive = [r for r in helpers if r.status is Status.ALIVE]
        if len(alive) >= roster.timing.indirect_checks:
            helpers = alive  # no answer of a suspect is no information
        chosen = roster.rng.sample(helpers, min(roster.timing.indirect_checks, len(helpers)))
        probe.indirect_count = len(chosen)
        target = roster.view.members.get(probe.target.name, probe.target)

        def make_ping_req(updates: tuple[MemberUpdate, ...]) -> PingReq:
            return PingReq(probe.seq, roster.me, target, updates)

        return [roster.send_with_updates(helper.address, make_ping_req, target) for helper in chosen]

    def expire_indirect_pings(self, now_s: float) -> list[Action]:
        """Send nacks for indirect pings not acked within 80 % of the probe timeout; drop expired ones."""
        actions: list[Action] = []
        roster = self.roster
        for seq, indirect_ping in list(self.indirect_pings.items()):
            if now_s >= indirect_ping.expires_s:
                del self.indirect_pings[seq]
            elif now_s >= indirect_ping.nack_at_s and indirect_ping.nack_at_s >= 0:
                indirect_ping.nack_at_s = -1.0
                requester = roster.view.members.get(indirect_ping.requester)
                if requester is not None:
                    actions.append(self._nack(requester.address, indirect_ping.seq))
        return actions

    def _nack(self, address: str, seq: int) -> Action:
        return self.roster.send_with_updates(address, lambda r: Nack(seq, self.roster.me, r))

    def postpone(self, for_s: float) -> None:
        """Move all deadlines back by the length of a stall."""
        if self.probe is not None:
            self.probe.ack_deadline_s += for_s
            self.probe.suspect_at_s += for_s
        for indirect_ping in self.indirect_pings.values():
            indirect_ping.expires_s += for_s
            if indirect_ping.nack_at_s >= 0:
                indirect_ping.nack_at_s += for_s
