"""Consul's catalogue and health API: requests and the interpretation of responses, without I/O."""
