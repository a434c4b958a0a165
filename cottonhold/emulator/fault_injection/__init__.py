"""Scenarios of faults, played on processes of the program with engines and clients, and checked from
outside."""
