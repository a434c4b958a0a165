"""Admission control by the whole fleet: shared demand and a common admission threshold; does no I/O."""
