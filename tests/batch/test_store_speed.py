from __future__ import annotations

import unittest

from rattanwing.batch.store_speed import SLOW_CALL_S, SLOW_FOR_S, StoreSpeed


class StoreSpeedTests(unittest.TestCase):
    def test_store_is_slow_for_a_time_after_a_call_that_took_long(self):
        speed = StoreSpeed()
        speed.record(SLOW_CALL_S, 10.0)
        self.assertFalse(speed.is_slow(10.0))
        speed.record(2 * SLOW_CALL_S, 10.0)
        self.assertTrue(speed.is_slow(10.0))
        self.assertFalse(speed.is_slow(10.0 + SLOW_FOR_S))

    def test_quick_call_does_not_end_it(self):
        """Calls that find records at once tell nothing of the others."""
        speed = StoreSpeed()
        speed.record(2 * SLOW_CALL_S, 10.0)
        speed.record(0.0, 10.1)
        self.assertTrue(speed.is_slow(10.2))
