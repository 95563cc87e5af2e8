"""python -m faultlab rollout: rollouts of new sets of hosts, good and bad, at real gateways."""
