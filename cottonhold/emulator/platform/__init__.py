"""The platform around one dispatcher of `python -m cottonhold`: processes, engines, event bus and clients."""
