"""The rolling replacement of machines: planned, ordered and stepped by all dispatchers together. Pure."""
