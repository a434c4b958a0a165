"""Decisions that all instances make together, such as evacuations, admission and slow start; does no I/O."""
