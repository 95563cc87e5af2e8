"""The storm: long seeded runs of random events, in which no invariant may break."""
