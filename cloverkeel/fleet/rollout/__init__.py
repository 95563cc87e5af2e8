"""Staged rollouts of sets of hosts (docs/rollouts.md); imported only where `rollout` is configured."""
