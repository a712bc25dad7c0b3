"""Streams between the system's own processes."""
