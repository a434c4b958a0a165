"""Emulated engines, Consul agent, disk and network with scripted faults, and models of a fleet."""
