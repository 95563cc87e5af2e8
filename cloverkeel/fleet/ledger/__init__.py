"""The ledger: a replicated store of small versioned records, held by every gateway (docs/ledger.md)."""
