"""Recovery after a power loss: what is known from before it, and the order in which service returns;
does no I/O."""
