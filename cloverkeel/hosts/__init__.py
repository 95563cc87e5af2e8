"""Hosts, the connection pool for each of them, and attempts: sending requests and classifying outcomes."""
