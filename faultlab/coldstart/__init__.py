"""A cold start of hundreds of gateways on one machine (docs/coldstart.md): `python -m faultlab coldstart`."""
