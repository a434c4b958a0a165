"""The command line of standalone dispatchers."""
