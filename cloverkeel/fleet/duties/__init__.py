"""Singleton jobs, each held by one process at a time (docs/duties.md); imported only if configured."""
