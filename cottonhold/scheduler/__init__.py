"""The decisions: placement, retries and refusals, free of I/O."""
