"""Fault injection: plays scenarios with real instances, emulated engines and clients, and checks the logs."""
