"""A seeded soak test: real gateways, hosts, clients and discovery under faults, checked against the rules."""
