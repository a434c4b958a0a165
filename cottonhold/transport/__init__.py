"""The only reader and writer of sockets."""
