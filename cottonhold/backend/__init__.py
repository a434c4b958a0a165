"""Engines: their protocol, connections, and the attempts on them."""
