"""Anti-entropy between two members: roots, then buckets, then dots, so that the cost follows the difference.

Where nothing differs, two hashes and no context are told: what a quiet member says does not grow with the
fleet. A context whose hash is another is answered with one's own, and so asked for.

Both sides of a comparison do the same with what the other says of a bucket: a dot that their own context does
not cover is wanted. Once all that the other holds is here, they join its state to theirs (Almeida et al.,
2018): its context is taken over, and a record that it covers and the other no longer holds is dropped. This
takes a state that nothing is about to change (`idle`).
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
    join: Join | None = None
    messages: list[Message] = dataclasses.field(default_factory=list)
    incomplete: bool = False  # something was left over: compare again soon


def digest_message(replica: Replica, settled: bool, reply: bool = False) -> Digest:
    """This member's state in two hashes."""
    return Digest(replica.bucket_hashes.root(), Context(), settled, reply, replica.context_hash())


def sender_context(replica: Replica, digest: Digest) -> Context | None:
    """The sender's context; None: it gave a hash, which is not this member's."""
    if not digest.context_hash:
        return digest.context
    return replica.context if digest.context_hash == replica.context_hash() else None


def on_digest(replica: Replica, settled: bool, idle: bool, digest: Digest) -> ComparisonOutcome:
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
    """`start`: the bucket to begin with where not all that differ go into one message."""
    differing = replica.bucket_hashes.differing_buckets(buckets.hashes)
    if not differing:
        return ComparisonOutcome()
    differing.sort(key=lambda i: (i - start) % BUCKET_COUNT)
    leaves = _leaves(replica, settled, differing, buckets.root, True, reply=False)
    return ComparisonOutcome(messages=[leaves], incomplete=not leaves.complete)


def on_leaves(
    replica: Replica, settled: bool, idle: bool, coming: Container[Dot], leaves: Leaves
) -> ComparisonOutcome:
    """`coming`: the dots whose records are on their way here, or set aside."""
    outcome = ComparisonOutcome(incomplete=not leaves.complete)
    lacking: list[Dot] = []
    drops: list[Dot] = []
    for bucket, theirs in leaves.buckets.items():
        mine, held = replica.bucket_hashes.dots_by_bucket[bucket], set(theirs)
        drops += [dot for dot in sorted(mine - held) if leaves.context.covers(dot)]
        lacking += [dot for dot in theirs if not replica.context.covers(dot)]
    wanted = [dot for dot in lacking if dot not in coming]
    if leaves.settled:
        for at in range(0, min(len(wanted), LEAVES_MAX), HEADS_MAX):
            outcome.messages.append(Want(tuple(wanted[at : at + HEADS_MAX])))
            outcome.incomplete = True
    unmoved = leaves.receiver_root == replica.bucket_hashes.root()
    if leaves.complete and unmoved and idle and not lacking:
        outcome.join = Join(leaves.context, tuple(drops), leaves.settled)
    if not leaves.reply:
        whole = leaves.complete and unmoved
        outcome.messages.append(_leaves(replica, settled, leaves.buckets, leaves.root, whole, reply=True))
    return outcome


def _leaves(
    replica: Replica, settled: bool, buckets: Iterable[int], base: bytes, whole: bool, reply: bool
) -> Leaves:
    """The first of `buckets` that fit, one at least; `whole` only if all do and it was to be."""
    chosen: dict[int, tuple[Dot, ...]] = {}
    room = LEAVES_MAX
    for bucket in buckets:
        dots = replica.bucket_hashes.dots_by_bucket[bucket]
        if chosen and len(dots) > room:
            whole = False
            break
        chosen[bucket] = tuple(sorted(dots))
        room -= len(dots)
    return Leaves(replica.bucket_hashes.root(), base, chosen, replica.context, settled, whole, reply)
