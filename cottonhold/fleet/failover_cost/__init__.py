"""The cost of an outage, and what follows: which zones serve whose clients, and what may be removed. Pure."""
