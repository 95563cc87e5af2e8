"""Staged rollouts of sets of hosts (docs/rollouts.md); imported only if `rollout` is configured."""
