"""Storm: long runs of random events, reproducible from a seed, that search for violated invariants."""
