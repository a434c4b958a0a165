"""The dispatcher of standalone installations: Consul sources, a fleet, a ledger and a local status socket."""
