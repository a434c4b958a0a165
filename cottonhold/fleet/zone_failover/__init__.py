"""Evacuation of failing zones by the whole fleet, and the return to them; does no I/O."""
