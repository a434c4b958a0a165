"""Overload handled by the fleet as one: the demand of all instances and the admission threshold. Pure."""
