"""Consul's catalogue and health API: what its answers mean, and the calls that are made. Free of I/O."""
