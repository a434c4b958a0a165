"""Membership of the instances and assignment of their duties: pure step functions, and the datagram codec."""
