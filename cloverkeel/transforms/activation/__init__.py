"""Decides, for all gateways of a cluster, which version of a transform runs where. A core without I/O
works on records in the replicated ledger (docs/activation.md)."""
