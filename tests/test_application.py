from __future__ import annotations

import unittest

import trio
import trio.testing

from rattanwing.application import Application
from rattanwing.errors import RegistryError


class ApplicationTests(unittest.TestCase):
    def setUp(self):
        self.app = Application(settings=None, clock=lambda: 7.0)

    def test_service_is_found_by_name(self):
        service = object()
        self.app.add_service("router", service)
        self.assertIs(self.app.get("router"), service)

    def test_missing_and_doubled_services_are_errors(self):
        with self.assertRaises(RegistryError):
            self.app.get("router")
        self.app.add_service("router", 1)
        with self.assertRaises(RegistryError):
            self.app.add_service("router", 2)

    def test_event_reaches_listeners_in_order(self):
        seen = []
        self.app.connect("config-applied", lambda offset: seen.append(("a", offset)))
        self.app.connect("config-applied", lambda offset: seen.append(("b", offset)))
        self.app.emit("config-applied", 3)
        self.assertEqual(seen, [("a", 3), ("b", 3)])


class LifecycleTests(unittest.TestCase):
    def setUp(self):
        self.starts = 0
        self.app = Application(settings=None, clock=trio.current_time)
        self.app.setup_extension("rattanwing.lifecycle")

    def run_for(self, seconds):
        async def main():
            with trio.move_on_after(seconds):
                await self.app.get("lifecycle").run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def add_task_that_raises(self, *errors):
        async def fail(error):
            raise error

        async def run():
            self.starts += 1
            async with trio.open_nursery() as nursery:
                for error in errors:
                    nursery.start_soon(fail, error)

        self.app.add_task(run)

    def test_operating_system_error_within_a_nursery_ends_the_process(self):
        """A process without its listener took part in the deployment all the same."""
        self.add_task_that_raises(OSError("taken"))
        with self.assertRaises(ExceptionGroup) as caught:
            self.run_for(10)
        self.assertIsNotNone(caught.exception.subgroup(OSError))
        self.assertEqual(self.starts, 1)

    def test_operating_system_error_beside_another_ends_the_process(self):
        self.add_task_that_raises(ValueError("other"), OSError("taken"))
        with self.assertRaises(ExceptionGroup):
            self.run_for(10)
        self.assertEqual(self.starts, 1)

    def test_task_with_another_error_is_restarted(self):
        self.add_task_that_raises(ValueError("other"))
        self.run_for(10.5)
        self.assertEqual(self.starts, 11)
