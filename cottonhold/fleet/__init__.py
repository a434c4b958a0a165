"""What all instances decide together: which zones are left, and how fast work returns to them. Pure."""
