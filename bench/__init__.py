"""Benchmarks with regression bounds: ``python -m bench``."""
