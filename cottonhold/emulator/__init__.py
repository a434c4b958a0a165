"""Stand-ins of this project: models of what it serves, on loopback, with scripted faults."""
