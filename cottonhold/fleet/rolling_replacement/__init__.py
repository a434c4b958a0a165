"""Rolling replacement of machines, which all dispatchers plan, schedule and carry out together;
does no I/O."""
