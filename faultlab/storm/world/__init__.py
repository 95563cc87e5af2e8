"""A seeded random world round one balancer: hosts, lists, clients, their faults. Pure: no clock, no I/O."""
