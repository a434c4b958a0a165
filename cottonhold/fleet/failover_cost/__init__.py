"""The cost of an outage, the zones that serve clients during it, and which engines may be removed;
does no I/O."""
