"""Sockets, timers and the event loop: the only package that reads and writes sockets."""
