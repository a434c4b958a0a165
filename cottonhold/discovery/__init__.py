"""What is believed of engines, and the sources that tell of them."""
