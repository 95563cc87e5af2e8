"""Clients' connections: parsing requests, writing responses, time-outs, draining."""
