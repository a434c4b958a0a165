"""Logs, counters and metrics for operators."""
