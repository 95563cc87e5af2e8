"""Distribution of the host list among members: list versions, choice of relays and upstreams, and the I/O."""
