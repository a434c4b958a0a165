"""The MySQL client protocol, implemented as state machines that do no I/O."""
