"""An emulated Consul agent, written from Consul's published HTTP API."""
