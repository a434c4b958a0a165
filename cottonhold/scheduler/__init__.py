"""The scheduler, which decides on placement, retries and rejections of queries without any I/O."""
