"""Persistent records: their formats (pure), and the ledger that stores them in SQLite."""
