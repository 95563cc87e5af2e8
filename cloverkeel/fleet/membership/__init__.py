"""Membership: which of the fleet's gateways are present (docs/membership.md).

The protocol core is `updates`, `health`, `broadcasts`, `messages`, `roster`, `probe` and `member`;
it does no I/O. `codec` encodes datagrams, `gossip` (UDP) and `calls` (TCP) do the I/O, and `service` is the
interface for the gateway's other parts.
"""
