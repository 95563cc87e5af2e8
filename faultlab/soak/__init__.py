"""A seeded soak: real gateways, hosts, clients and discovery under faults, judged by the platform's rules."""
