"""What operators see: log lines and counts."""
