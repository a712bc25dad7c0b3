"""Leaf helpers that know nothing of scheduling."""
