"""Warm by neighbours: what cold gateways take over from members of their zone."""
