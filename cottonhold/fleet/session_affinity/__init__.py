"""Which dispatcher owns a key, one at a time, and how ownership migrates between dispatchers. Pure."""
