"""Adapters between the fleet's decision logic and its surroundings: event loop, datagrams and disk."""
