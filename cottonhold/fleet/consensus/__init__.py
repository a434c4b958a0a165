"""Values that the fleet settles by majority: registers changed by compare-and-set over the voters. Pure."""
