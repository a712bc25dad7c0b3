"""Configuration: the typed declarations and the tree that holds them."""
