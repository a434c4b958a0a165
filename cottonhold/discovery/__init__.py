"""Service discovery: the sources that report engines, and the engine list merged from them."""
