"""Deciding an epoch's number once: single-decree Paxos (Lamport, 1998), with ledger records as messages.

`Voter` is one member's acceptor, `Proposer` its proposer. What a member has said counts for others only once
they read it, and they read it only after it is on the member's disk. On another disk a member is another
voter, so that none forgets what it said (docs/activation.md, "The way chosen").
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from cloverkeel.transforms.activation.ledger_state import LedgerState, VoterId
from cloverkeel.transforms.activation.interface import Settings
from cloverkeel.transforms.activation.records import Ballot, Epoch, Proposal, Vote, merge_votes


def is_quorum(epoch: Epoch, size: int, voted: Iterable[VoterId]) -> bool:
    """Whether these (member, disk) are a quorum for the epoch after this one: more than half of its voters on
    the disks that it names, or all its members on whatever disks. The first: `size` members."""
    voted = set(voted)
    members = {member for member, _ in voted}
    if not epoch.voters:
        return len(members) >= size
    if members.issuperset(epoch.voters):
        return True
    # An epoch from before disks were named: each voter's word counts, whatever its disk.
    named = (
        voted.intersection(epoch.voter_store_ids().items())
        if epoch.store_ids
        else members.intersection(epoch.voters)
    )
    return 2 * len(named) > len(epoch.voters)


def may_vote(epoch: Epoch, member: str) -> bool:
    """Whether a member's vote on the epoch after this one can count."""
    return not epoch.voters or member in epoch.voters


def is_valid_ballot(epoch: Epoch, proposal: Proposal) -> bool:
    """Whether a ballot for the epoch after this one is its proposer's to begin: round 0, which needs no
    promises as none is lower, is only that of who proposed this one."""
    return proposal.ballot[0] > 0 or proposal.ballot[1:] == epoch.proposed_by


class Voter:
    def __init__(self, me: str, disk: int) -> None:
        self.member, self.store_id = me, disk
        self.vote: Vote | None = None  # the last word, written or about to be

    def next_vote(self, book: LedgerState) -> Vote | None:
        """The vote to write where the proposals in the book change it. The word given before holds, whether
        or not the ledger shows it already."""
        number = book.epoch.number + 1
        kept = book.votes.get(self.member, {})
        own = kept.get(self.store_id)
        if own is not None and (self.vote is None or own.epoch >= self.vote.epoch):
            self.vote = merge_votes([own] if self.vote is None else [own, self.vote])
        vote = self.vote
        if vote is not None and vote.epoch > number:
            return None  # this disk lost an epoch that it knew: to be heard again first
        if not may_vote(book.epoch, self.member):
            return None
        if vote is not None and vote.epoch < number:
            vote = None
        if vote is None and (heard := [v for v in kept.values() if v.epoch == number]):
            # Its word on a disk that is lost, as far as others have heard it, is the first on this one.
            vote = merge_votes(heard)
        every = [
            p
            for ps in book.proposals.values()
            for p in ps
            if p.epoch == number and is_valid_ballot(book.epoch, p)
        ]
        for proposal in sorted(every, key=lambda p: (p.ballot, p.value is not None)):
            vote = self._vote_on(vote, proposal)
        if vote is None or vote == self.vote:
            return None
        self.vote = vote
        return vote

    @staticmethod
    def _vote_on(vote: Vote | None, proposal: Proposal) -> Vote:
        number, ballot = proposal.epoch, proposal.ballot
        if vote is None:
            vote = Vote(number, ballot)
        if ballot > vote.promised:
            vote = Vote(number, ballot, vote.accepted, vote.value)
        if proposal.value is not None and ballot == vote.promised:
            vote = Vote(number, ballot, ballot, proposal.value)
        return vote


class Proposer:
    def __init__(self, me: str, life: int, settings: Settings, rng: random.Random) -> None:
        self.member, self.process_id, self.settings, self.rng = me, life, settings, rng
        self.proposal: Proposal | None = None
        self.deadline_s = 0.0
        self.is_outbid = False
        self.last_round_zero = 0  # the last number whose round 0 was begun here

    def step(self, now_s: float, book: LedgerState, value: Epoch | None) -> Proposal | Epoch | None:
        """What to write next so that `value`, or what a quorum may have accepted before it, becomes the next
        epoch. None: nothing is wanted, or votes are waited for."""
        number = book.epoch.number + 1
        if value is not None:
            value = msgspec.structs.replace(value, proposed_by=(self.member, self.process_id))
        mine = self.proposal
        if mine is None or mine.epoch != number or now_s >= self.deadline_s:
            if value is None:
                self.proposal = None
                return None
            return self._start_ballot(now_s, book, value)
        votes = {
            voter: vote for voter, vote in book.votes_on(number).items() if may_vote(book.epoch, voter[0])
        }
        if any(vote.promised > mine.ballot for vote in votes.values()) and not self.is_outbid:
            self.is_outbid = True
            self.deadline_s = min(self.deadline_s, now_s + self.settings.outbid_delay_s * self.rng.random())
        size = self.settings.size
        if mine.value is None:
            promises = {voter: vote for voter, vote in votes.items() if vote.promised == mine.ballot}
            if not is_quorum(book.epoch, size, promises):
                return None
            chosen = bound_value(promises.values()) or value
            if chosen is None:
                return None  # what was wanted is no more, and nobody is bound
            self.proposal = Proposal(number, mine.ballot, chosen)
            return self.proposal
        accepted = (voter for voter, vote in votes.items() if vote.accepted == mine.ballot)
        return mine.value if is_quorum(book.epoch, size, accepted) else None

    def _start_ballot(self, now_s: float, book: LedgerState, value: Epoch) -> Proposal:
        number = value.number
        self.deadline_s = now_s + self.settings.ballot_timeout_s * (1 + self.rng.random())
        self.is_outbid = False
        if book.epoch.proposed_by == (self.member, self.process_id) and self.last_round_zero != number:
            self.last_round_zero = number  # one value there, whatever becomes of it
            self.proposal = Proposal(number, (0, self.member, self.process_id), value)
            return self.proposal
        ballots: list[Ballot] = [p.ballot for ps in book.proposals.values() for p in ps if p.epoch == number]
        ballots += [vote.promised for vote in book.votes_on(number).values()]
        if self.proposal is not None and self.proposal.epoch == number:
            ballots.append(self.proposal.ballot)
        highest = max((ballot[0] for ballot in ballots), default=0)
        self.proposal = Proposal(number, (highest + 1, self.member, self.process_id))
        return self.proposal


def bound_value(promises: Iterable[Vote]) -> Epoch | None:
    """The value that a quorum may have accepted, of the highest ballot; None: the proposer is free."""
    bound = [vote for vote in promises if vote.accepted is not None]
    return max(bound, key=lambda vote: vote.accepted or (-1, "", 0)).value if bound else None
