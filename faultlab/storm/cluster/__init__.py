"""Clusters of protocol cores in one process, on simulated time and a simulated network."""
