"""Routes of many teams, merged over the ledger (docs/routes.md); imported only where configured."""
