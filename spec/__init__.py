"""Specification of the core protocol, for exhaustive exploration."""
