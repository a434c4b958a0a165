"""Forwarding of requests to the dispatcher that owns their key, and of the answers; does no I/O."""
