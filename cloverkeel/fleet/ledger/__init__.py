"""The shared ledger: small versioned records that every gateway holds (docs/ledger.md)."""
