"""python -m faultlab rollout: a new set of hosts, good or bad, takes its share at real gateways."""
