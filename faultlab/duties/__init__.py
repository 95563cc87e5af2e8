"""python -m faultlab duties: processes race for duties, faults between, a resource that checks tokens."""
