"""Configuration files: decoded into typed values and checked for contradictions."""
