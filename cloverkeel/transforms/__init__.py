"""Header transforms that developers publish to a fleet of gateways (docs/activation.md)."""
