"""Warm start: a gateway that starts cold takes over learned state from members of its zone."""
