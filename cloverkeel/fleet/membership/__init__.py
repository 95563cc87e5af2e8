"""Membership: which of the fleet's gateways are present (docs/membership.md).

The pure core is `rumours`, `health`, `broadcasts`, `messages`, `roster`, `probe` and `member`; `codec` is the
datagrams' coding; `gossip` (UDP) and `calls` (TCP) are the I/O; `service` ties them.
"""
