"""A stand-in for Consul, from its published HTTP API."""
