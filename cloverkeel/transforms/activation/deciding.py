"""Deciding an epoch's number once: single-decree Paxos (Lamport, 1998), with ledger records as messages.

`Voter` is one member's acceptor, `Proposer` its proposer. What a member has said counts for others only once
they read it, and they read it only after it is on the member's disk.
"""

from __future__ import annotations

import random

from cloverkeel.transforms.activation.book import Book
from cloverkeel.transforms.activation.interface import Settings
from cloverkeel.transforms.activation.records import Ballot, Epoch, Proposal, Vote, merge_votes


def quorum(epoch: Epoch, size: int) -> int:
    """How many votes decide the epoch after this one."""
    return (len(epoch.voters) or size) // 2 + 1


def counts(epoch: Epoch, member: str) -> bool:
    """Whether a member's vote on the epoch after this one counts."""
    return not epoch.voters or member in epoch.voters


class Voter:
    def __init__(self, me: str) -> None:
        self.me = me
        self.vote: Vote | None = None  # the last word, written or about to be

    def consider(self, book: Book) -> Vote | None:
        """The vote to write where the proposals in the book change it. The word given before holds, whether
        or not the ledger shows it already."""
        number = book.epoch.number + 1
        own = book.votes.get(self.me)
        if own is not None and (self.vote is None or own.epoch >= self.vote.epoch):
            self.vote = merge_votes([own] if self.vote is None else [own, self.vote])
        vote = self.vote
        if vote is not None and vote.epoch > number:
            return None  # this disk lost an epoch that it knew: to be heard again first
        if not counts(book.epoch, self.me):
            return None
        if vote is not None and vote.epoch < number:
            vote = None
        every = [p for ps in book.proposals.values() for p in ps if p.epoch == number]
        for proposal in sorted(every, key=lambda p: (p.ballot, p.value is not None)):
            vote = self._answer(vote, proposal)
        if vote is None or vote == self.vote:
            return None
        self.vote = vote
        return vote

    @staticmethod
    def _answer(vote: Vote | None, proposal: Proposal) -> Vote:
        if vote is None:
            vote = Vote(proposal.epoch, proposal.ballot)
        if proposal.ballot > vote.promised:
            vote = Vote(proposal.epoch, proposal.ballot, vote.accepted, vote.value)
        if proposal.value is not None and proposal.ballot == vote.promised:
            vote = Vote(proposal.epoch, proposal.ballot, proposal.ballot, proposal.value)
        return vote


class Proposer:
    def __init__(self, me: str, life: int, settings: Settings, rng: random.Random) -> None:
        self.me, self.life, self.settings, self.rng = me, life, settings, rng
        self.proposal: Proposal | None = None
        self.until_s = 0.0
        self.outbid = False

    def step(self, now_s: float, book: Book, value: Epoch | None) -> Proposal | Epoch | None:
        """What to write next so that `value`, or what a quorum may have accepted before it, becomes the next
        epoch. None: nothing is wanted, or votes are waited for."""
        number = book.epoch.number + 1
        mine = self.proposal
        if mine is None or mine.epoch != number or now_s >= self.until_s:
            if value is None:
                self.proposal = None
                return None
            return self._begin(now_s, book, number)
        votes = [v for m, v in book.votes.items() if v.epoch == number and counts(book.epoch, m)]
        if any(vote.promised > mine.ballot for vote in votes) and not self.outbid:
            self.outbid = True
            self.until_s = min(self.until_s, now_s + self.settings.outbid_s * self.rng.random())
        needed = quorum(book.epoch, self.settings.size)
        if mine.value is None:
            promises = [vote for vote in votes if vote.promised == mine.ballot]
            if len(promises) < needed:
                return None
            chosen = free_or_bound(promises) or value
            if chosen is None:
                return None  # what was wanted is no more, and nobody is bound
            self.proposal = Proposal(number, mine.ballot, chosen)
            return self.proposal
        if sum(vote.accepted == mine.ballot for vote in votes) < needed:
            return None
        return mine.value

    def _begin(self, now_s: float, book: Book, number: int) -> Proposal:
        ballots: list[Ballot] = [p.ballot for ps in book.proposals.values() for p in ps if p.epoch == number]
        ballots += [vote.promised for vote in book.votes.values() if vote.epoch == number]
        if self.proposal is not None and self.proposal.epoch == number:
            ballots.append(self.proposal.ballot)
        highest = max((ballot[0] for ballot in ballots), default=0)
        self.proposal = Proposal(number, (highest + 1, self.me, self.life))
        self.until_s = now_s + self.settings.retry_s * (1 + self.rng.random())
        self.outbid = False
        return self.proposal


def free_or_bound(promises: list[Vote]) -> Epoch | None:
    """The value that a quorum may have accepted, of the highest ballot; None: the proposer is free."""
    bound = [vote for vote in promises if vote.accepted is not None]
    return max(bound, key=lambda vote: vote.accepted or (-1, "", 0)).value if bound else None
