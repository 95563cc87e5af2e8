"""python -m faultlab duties: processes compete for duties under faults; a resource checks their tokens."""
