"""The side of the gateway that clients see."""
