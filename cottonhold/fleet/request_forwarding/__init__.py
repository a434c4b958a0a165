"""Requests forwarded to the dispatcher that owns their key, and the answer back. Pure."""
