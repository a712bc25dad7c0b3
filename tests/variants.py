"""Runs a scenario with the real code and with one mechanism removed."""

from __future__ import annotations

import contextlib
import unittest

from tests.history import judge
from tests.world import run_world


class VariantTestCase(unittest.TestCase):
    """A proof passes on the real code and fails on the broken variant."""

    def prove(self, promise, scenario, *patches, seed=1, **options):
        """Judge the scenario twice; only the variant may break ``promise``."""
        history = run_world(scenario, seed, **options)
        self.assertEqual(judge(history), [])
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            broken = run_world(scenario, seed, **options)
        problems = judge(broken)
        found = [p for p in problems if p.startswith(f"{promise}:")]
        self.assertTrue(found, f"the variant was not caught: {problems}")
        return history
