"""A random simulated environment of one balancer: hosts, lists, clients, faults. No real clock, no I/O."""
