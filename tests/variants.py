"""Checks that a scenario needs a mechanism of the code to keep a guarantee."""

from __future__ import annotations

import contextlib
import unittest

from tests.history import find_violations
from tests.world import run_world


class VariantTestCase(unittest.TestCase):
    """Runs scenarios on the real code and on a variant without one mechanism.

    A scenario that passes on the variant too would not notice if the mechanism broke.
    """

    def assert_mechanism_needed(self, guarantee, scenario, *patches, seed=1, **options):
        """Check that only the variant violates a guarantee.

        :param guarantee: number of the guarantee, as in :mod:`tests.history`.
        :param patches: patches that remove the mechanism.
        :returns: history of the run on the real code.
        """
        history = run_world(scenario, seed, **options)
        self.assertEqual(find_violations(history), [])
        with contextlib.ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            variant_history = run_world(scenario, seed, **options)
        problems = find_violations(variant_history)
        found = [p for p in problems if p.startswith(f"{guarantee}:")]
        self.assertTrue(found, f"the variant kept the guarantee: {problems}")
        return history
