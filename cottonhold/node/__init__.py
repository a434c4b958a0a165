"""One dispatcher put together: the gateway, the lifecycle, the operators' calls."""
