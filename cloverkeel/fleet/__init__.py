"""Parts of a fleet of gateways: each a pure core with a thin shell of I/O round it."""
