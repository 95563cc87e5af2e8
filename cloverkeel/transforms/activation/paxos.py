"""Decides the value of each epoch number: single-decree Paxos (Lamport, 1998), with ledger records as
messages.

`Voter` is a member's acceptor, `Proposer` its proposer. Others read a member's vote only after it is stored
on the member's disk. A member with a new store counts as another voter, so no voter ever forgets a promise
(docs/activation.md, "The way chosen").
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from cloverkeel.transforms.activation.interface import Settings
from cloverkeel.transforms.activation.ledger_state import LedgerState, VoterId
from cloverkeel.transforms.activation.records import Ballot, Epoch, Proposal, Vote, merge_votes


def is_quorum(epoch: Epoch, size: int, voted: Iterable[VoterId]) -> bool:
    """Whether these voters, as (member, store id), are a quorum for the epoch after this one: more than
    half of its voters with the stores that it names, or all of its voters with any stores. The first epoch
    takes `size` members."""
    voted = set(voted)
    members = {member for member, _ in voted}
    if not epoch.voters:
        return len(members) >= size
    if members.issuperset(epoch.voters):
        return True
    # An epoch of a release that did not record store ids: each voter's vote counts, whatever its store.
    backing = (
        voted.intersection(epoch.voter_store_ids().items())
        if epoch.store_ids
        else members.intersection(epoch.voters)
    )
    return 2 * len(backing) > len(epoch.voters)


def may_vote(epoch: Epoch, member: str) -> bool:
    """Whether a member's vote on the epoch after this one can count."""
    return not epoch.voters or member in epoch.voters


def is_valid_ballot(epoch: Epoch, proposal: Proposal) -> bool:
    """Whether a proposer may use this ballot for the epoch after this one. Round 0 needs no promises,
    because no ballot is lower; only the process that proposed this epoch may use it."""
    return proposal.ballot[0] > 0 or proposal.ballot[1:] == epoch.proposed_by


class Voter:
    """The acceptor of one member with one store."""

    def __init__(self, member: str, store_id: int) -> None:
        self.member, self.store_id = member, store_id
        self.vote: Vote | None = None  # the last vote, written or about to be written

    def next_vote(self, ledger_state: LedgerState) -> Vote | None:
        """Returns the vote to write if the current proposals change it, else None. An earlier vote binds
        even if the ledger does not show it yet."""
        number = ledger_state.epoch.number + 1
        stored = ledger_state.votes.get(self.member, {})
        own = stored.get(self.store_id)
        if own is not None and (self.vote is None or own.epoch >= self.vote.epoch):
            self.vote = merge_votes([own] if self.vote is None else [own, self.vote])
        vote = self.vote
        if vote is not None and vote.epoch > number:
            return None  # this store has lost an epoch that it had; wait until the ledger brings it back
        if not may_vote(ledger_state.epoch, self.member):
            return None
        if vote is not None and vote.epoch < number:
            vote = None
        if vote is None and (earlier := [v for v in stored.values() if v.epoch == number]):
            # Votes cast from a lost store, as far as others have received them, bind this store too.
            vote = merge_votes(earlier)
        proposals = [
            p
            for ps in ledger_state.proposals.values()
            for p in ps
            if p.epoch == number and is_valid_ballot(ledger_state.epoch, p)
        ]
        for proposal in sorted(proposals, key=lambda p: (p.ballot, p.value is not None)):
            vote = self._vote_on(vote, proposal)
        if vote is None or vote == self.vote:
            return None
        self.vote = vote
        return vote

    @staticmethod
    def _vote_on(vote: Vote | None, proposal: Proposal) -> Vote:
        """The vote after one more proposal: a promise to a higher ballot, or acceptance of its value."""
        number, ballot = proposal.epoch, proposal.ballot
        if vote is None:
            vote = Vote(number, ballot)
        if ballot > vote.promised:
            vote = Vote(number, ballot, vote.accepted, vote.value)
        if proposal.value is not None and ballot == vote.promised:
            vote = Vote(number, ballot, ballot, proposal.value)
        return vote


class Proposer:
    """The proposer of one process: at most one ballot at a time."""

    def __init__(self, member: str, process_id: int, settings: Settings, rng: random.Random) -> None:
        self.member, self.process_id, self.settings, self.rng = member, process_id, settings, rng
        self.proposal: Proposal | None = None  # of the current ballot
        self.deadline_s = 0.0  # when the current ballot is given up
        self.is_outbid = False  # whether a higher ballot has been seen
        self.last_round_zero = 0  # the last epoch number for which this process used round 0

    def step(self, now_s: float, ledger_state: LedgerState, value: Epoch | None) -> Proposal | Epoch | None:
        """Returns the record to write next so that `value`, or a value that a quorum may have accepted
        already, becomes the next epoch. None: no change is wanted, or votes are missing."""
        number = ledger_state.epoch.number + 1
        if value is not None:
            value = msgspec.structs.replace(value, proposed_by=(self.member, self.process_id))
        current = self.proposal
        if current is None or current.epoch != number or now_s >= self.deadline_s:
            if value is None:
                self.proposal = None
                return None
            return self._start_ballot(now_s, ledger_state, value)
        votes = {
            voter: vote
            for voter, vote in ledger_state.votes_on(number).items()
            if may_vote(ledger_state.epoch, voter[0])
        }
        if any(vote.promised > current.ballot for vote in votes.values()) and not self.is_outbid:
            self.is_outbid = True
            self.deadline_s = min(self.deadline_s, now_s + self.settings.outbid_delay_s * self.rng.random())
        size = self.settings.size
        if current.value is None:
            promises = {voter: vote for voter, vote in votes.items() if vote.promised == current.ballot}
            if not is_quorum(ledger_state.epoch, size, promises):
                return None
            chosen = bound_value(promises.values()) or value
            if chosen is None:
                return None  # no change is wanted any more, and no accepted value has to be completed
            self.proposal = Proposal(number, current.ballot, chosen)
            return self.proposal
        accepted = (voter for voter, vote in votes.items() if vote.accepted == current.ballot)
        return current.value if is_quorum(ledger_state.epoch, size, accepted) else None

    def _start_ballot(self, now_s: float, ledger_state: LedgerState, value: Epoch) -> Proposal:
        """Starts a ballot: round 0 if this process may use it, else a round above all seen."""
        number = value.number
        self.deadline_s = now_s + self.settings.ballot_timeout_s * (1 + self.rng.random())
        self.is_outbid = False
        if (
            ledger_state.epoch.proposed_by == (self.member, self.process_id)
            and self.last_round_zero != number
        ):
            self.last_round_zero = number  # a second value in round 0 could contradict an accepted one
            self.proposal = Proposal(number, (0, self.member, self.process_id), value)
            return self.proposal
        ballots: list[Ballot] = [
            p.ballot for ps in ledger_state.proposals.values() for p in ps if p.epoch == number
        ]
        ballots += [vote.promised for vote in ledger_state.votes_on(number).values()]
        if self.proposal is not None and self.proposal.epoch == number:
            ballots.append(self.proposal.ballot)
        highest = max((ballot[0] for ballot in ballots), default=0)
        self.proposal = Proposal(number, (highest + 1, self.member, self.process_id))
        return self.proposal


def bound_value(promises: Iterable[Vote]) -> Epoch | None:
    """The accepted value of the highest ballot among these promises, which a quorum may have accepted and
    which the proposer therefore has to propose; None: it may propose any value."""
    bound = [vote for vote in promises if vote.accepted is not None]
    return max(bound, key=lambda vote: vote.accepted or (-1, "", 0)).value if bound else None
