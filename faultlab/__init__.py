"""A fault lab: real gateway processes on loopback, faults injected between them, figures printed."""
