"""Configuration: typed declarations and the tree they stand in."""
