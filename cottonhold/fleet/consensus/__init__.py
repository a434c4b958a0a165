"""Registers: replicated values that are changed by compare-and-set on a majority of the voters;
does no I/O."""
