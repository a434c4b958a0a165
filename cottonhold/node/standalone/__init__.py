"""The dispatcher of other installations than the platform: Consul, a fleet, a ledger and a local socket."""
