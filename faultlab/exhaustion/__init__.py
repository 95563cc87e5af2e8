"""Peers that take as much of a gateway's memory, processor time and descriptors as it lets them."""
