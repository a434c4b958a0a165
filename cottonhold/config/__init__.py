"""Configuration: files decoded once into typed values, and checked as a whole."""
