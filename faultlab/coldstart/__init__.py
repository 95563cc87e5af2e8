"""An experiment: the cold start of hundreds of gateways on one machine, `python -m faultlab coldstart`.

See docs/coldstart.md.
"""
