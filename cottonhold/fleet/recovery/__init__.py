"""The fleet after a power loss: what is known from before, and the order in which service returns. Pure."""
