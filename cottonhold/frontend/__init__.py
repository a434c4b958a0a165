"""Client protocols as state machines that are fed bytes: MySQL."""
