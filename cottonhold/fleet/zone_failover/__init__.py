"""Leaving a failing zone as one fleet, and returning to it. Pure."""
