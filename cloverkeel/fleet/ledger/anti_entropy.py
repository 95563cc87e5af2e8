"""Anti-entropy between two members, at a cost in proportion to the difference between them.

Two members compare root hashes, then bucket hashes, then the dots of the buckets that differ. A comparison
starts with two hashes, of the records and of the context, and without the context itself: where nothing
differs, the traffic of a member does not grow with the fleet. A member that receives the hash of a context
other than its own answers with its own context in full, which makes the peer send its context, too.

Both sides treat the dots of a bucket in the same way: one that their own context does not cover is requested.
Once a member has every record that its peer holds, it joins the peer's state to its own (Almeida et al.,
2018): it merges the peer's context, and drops the records that it covers and that the peer no longer holds.
A join is computed only while the member is `idle`, that is, has no operation staged or being written to disk.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Iterable

from cloverkeel.fleet.ledger.bucket_hashes import BUCKET_COUNT
from cloverkeel.fleet.ledger.dots import Context, Dot
from cloverkeel.fleet.ledger.messages import HEADS_MAX, LEAVES_MAX, Buckets, Digest, Leaves, Message, Want
from cloverkeel.fleet.ledger.replica import Join, Replica


@dataclasses.dataclass
class ComparisonOutcome:
    """What a member does after a message of a comparison: a join to stage, and messages for the peer."""

    join: Join | None = None
    messages: list[Message] = dataclasses.field(default_factory=list)
    incomplete: bool = False  # not all differences were covered: compare again soon


def digest_message(replica: Replica, settled: bool, reply: bool = False) -> Digest:
    """The message that starts a comparison: this member's state as two hashes."""
    return Digest(replica.bucket_hashes.root(), Context(), settled, reply, replica.context_hash())


def sender_context(replica: Replica, digest: Digest) -> Context | None:
    """The sender's context; None if only its hash was sent and is not the hash of this member's context."""
    if not digest.context_hash:
        return digest.context
    return replica.context if digest.context_hash == replica.context_hash() else None


def on_digest(replica: Replica, settled: bool, idle: bool, digest: Digest) -> ComparisonOutcome:
    """Handles a peer's root hash and context; answers with bucket hashes if the roots differ."""
    outcome = ComparisonOutcome()
    if digest.root != replica.bucket_hashes.root():
        outcome.messages.append(Buckets(replica.bucket_hashes.root(), replica.bucket_hashes.hashes()))
        return outcome
    context = sender_context(replica, digest)
    if context is None:
        outcome.messages.append(Digest(replica.bucket_hashes.root(), replica.context, settled))
        return outcome
    if idle:
        outcome.join = Join(context, (), digest.settled)
    if context != replica.context and not digest.reply:
        outcome.messages.append(Digest(replica.bucket_hashes.root(), replica.context, settled, reply=True))
    elif not digest.settled and not digest.reply:
        outcome.messages.append(digest_message(replica, settled, reply=True))
    return outcome


def on_buckets(replica: Replica, settled: bool, start: int, buckets: Buckets) -> ComparisonOutcome:
    """Handles a peer's bucket hashes: answers with the dots of the buckets that differ.

    `start`: the bucket to begin with if they do not all fit into one message.
    """
    differing = replica.bucket_hashes.differing_buckets(buckets.hashes)
    if not differing:
        return ComparisonOutcome()
    differing.sort(key=lambda i: (i - start) % BUCKET_COUNT)
    leaves = _leaves(replica, settled, differing, buckets.root, True, reply=False)
    return ComparisonOutcome(messages=[leaves], incomplete=not leaves.complete)


def on_leaves(
    replica: Replica, settled: bool, idle: bool, excluded: Container[Dot], leaves: Leaves
) -> ComparisonOutcome:
    """Handles a peer's dots in differing buckets: requests missing records, or joins the peer's state.

    `excluded`: dots not to be requested, because their records are being fetched or have been deferred.
    """
    outcome = ComparisonOutcome(incomplete=not leaves.complete)
    missing: list[Dot] = []
    drops: list[Dot] = []
    for bucket, theirs in leaves.buckets.items():
        own, held = replica.bucket_hashes.dots_by_bucket[bucket], set(theirs)
        drops += [dot for dot in sorted(own - held) if leaves.context.covers(dot)]
        missing += [dot for dot in theirs if not replica.context.covers(dot)]
    wanted = [dot for dot in missing if dot not in excluded]
    if leaves.settled:
        for at in range(0, min(len(wanted), LEAVES_MAX), HEADS_MAX):
            outcome.messages.append(Want(tuple(wanted[at : at + HEADS_MAX])))
            outcome.incomplete = True
    unchanged = leaves.receiver_root == replica.bucket_hashes.root()
    if leaves.complete and unchanged and idle and not missing:
        outcome.join = Join(leaves.context, tuple(drops), leaves.settled)
    if not leaves.reply:
        complete = leaves.complete and unchanged
        outcome.messages.append(_leaves(replica, settled, leaves.buckets, leaves.root, complete, reply=True))
    return outcome


def _leaves(
    replica: Replica, settled: bool, buckets: Iterable[int], receiver_root: bytes, complete: bool, reply: bool
) -> Leaves:
    """The dots of the first of `buckets` that fit into a message, at least of one.

    The message is marked complete only if `complete` is set and all buckets fit.
    """
    chosen: dict[int, tuple[Dot, ...]] = {}
    space_left = LEAVES_MAX
    for bucket in buckets:
        dots = replica.bucket_hashes.dots_by_bucket[bucket]
        if chosen and len(dots) > space_left:
            complete = False
            break
        chosen[bucket] = tuple(sorted(dots))
        space_left -= len(dots)
    return Leaves(
        replica.bucket_hashes.root(), receiver_root, chosen, replica.context, settled, complete, reply
    )
