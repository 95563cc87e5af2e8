"""Routing rules edited by many teams and merged over the ledger. docs/routes.md.

Imported only where the configuration has a `routes` object.
"""
