"""Session affinity: at most one dispatcher owns a key, and ownership can move between dispatchers;
does no I/O."""
