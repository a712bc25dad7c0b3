"""Runs a scenario with the real code and with one mechanism removed."""

from __future__ import annotations

import contextlib
import unittest

from tests.history import find_violations
from tests.world import run_world


class VariantTestCase(unittest.TestCase):
    """A proof passes on the real code and fails on the broken variant."""

    def assert_mechanism_needed(self, guarantee, scenario, *patches, seed=1, **options):
        """Judge the scenario twice; only the variant may break ``guarantee``."""
        history = run_world(scenario, seed, **options)
        self.assertEqual(find_violations(history), [])
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            broken = run_world(scenario, seed, **options)
        problems = find_violations(broken)
        found = [p for p in problems if p.startswith(f"{guarantee}:")]
        self.assertTrue(found, f"the variant was not caught: {problems}")
        return history
