"""Duties that one process holds at a time (docs/duties.md); imported only where some are named."""
