"""Whole clusters of membership cores in one process, on simulated time and a simulated network."""
