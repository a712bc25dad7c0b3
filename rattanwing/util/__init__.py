"""Utilities that do not depend on the scheduler."""
