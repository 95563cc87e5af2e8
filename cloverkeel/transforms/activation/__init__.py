"""Which version of a transform runs at which gateway, and since when: a pure core over the shared ledger."""
