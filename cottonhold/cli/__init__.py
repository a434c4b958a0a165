"""The command line: parses, calls, prints."""
