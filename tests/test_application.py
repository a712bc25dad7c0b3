from __future__ import annotations

import unittest

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
