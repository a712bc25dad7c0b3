from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

import logbook
from cleo.testers.command_tester import CommandTester

from rattanwing import events
from rattanwing.batch.configuration_check import Severity, find_changes, find_faults
from rattanwing.cmd.cli import make_application
from rattanwing.platform.configuration_file import log_faults, read_configuration

ROUTE = {
    "name": "quotes",
    "host": "shop.example",
    "path_prefix": "/quotes/",
    "backend": "desk",
    "priority": 0,
    "max_attempts": 3,
    "stretch": 1.5,
    "target_latency_ms": 250,
    "timeout_ms": 3000,
}
OTHER = ROUTE | {"name": "prices", "path_prefix": "/prices/"}
SERVICE = {"name": "desk", "standby": False}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 262144,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def configuration(routes=(ROUTE, OTHER), services=(SERVICE,), limits=LIMITS, version=7):
    value = {"version": version, "routes": routes, "services": services}
    return json.dumps(value | {"limits": limits}).encode()


def check(data):
    proposed, findings = read_configuration(data)
    return findings + (list(find_faults(proposed)) if proposed else [])


def with_route(**changes):
    return configuration((ROUTE, OTHER | changes))


FAULTS = {
    "malformed": (with_route(priority="high"), "routes[1]"),
    "duplicate-name": (with_route(name="quotes"), "routes[1]"),
    "host-never-matches": (with_route(host="Shop.example:80"), "routes[1]"),
    "path-never-matches": (with_route(path_prefix="prices/"), "routes[1]"),
    "hidden": (with_route(path_prefix="/quotes/"), "routes[1]"),
    "partly-hidden": (with_route(path_prefix="/quotes/0a"), "routes[0]"),
    "unknown-service": (with_route(backend="desks"), "routes[1]"),
    "standby-service": (
        configuration(services=(SERVICE | {"standby": True},)),
        "routes[0]",
    ),
    "unused-service": (
        configuration(services=(SERVICE, {"name": "spare"})),
        "services[1]",
    ),
    "no-attempts": (with_route(max_attempts=0), "routes[1]"),
    "target-too-short": (with_route(stretch=0.9), "routes[1]"),
    "timeout-under-target": (with_route(target_latency_ms=3001), "routes[1]"),
    "no-room": (
        configuration(limits=LIMITS | {"max_header_bytes": 0}),
        "limits.max_header_bytes",
    ),
    "body-under-job": (
        configuration(limits=LIMITS | {"max_body_bytes": 3999}),
        "limits.max_body_bytes",
    ),
    "idle-under-head": (
        configuration(limits=LIMITS | {"idle_timeout_ms": 2999}),
        "limits.idle_timeout_ms",
    ),
}
WARNINGS = {
    "partly-hidden",
    "unused-service",
    "timeout-under-target",
    "idle-under-head",
}


class FaultTests(unittest.TestCase):
    def test_each_fault_is_found_at_its_place(self):
        for rule, (data, place) in FAULTS.items():
            with self.subTest(rule=rule):
                findings = check(data)
                self.assertEqual({finding.rule for finding in findings}, {rule})
                self.assertEqual(findings[0].place, place)
                warning = findings[0].severity is Severity.WARNING
                self.assertEqual(warning, rule in WARNINGS)

    def test_sound_configuration_has_no_findings(self):
        self.assertEqual(check(configuration()), [])
        longer = with_route(path_prefix="/quotes/urgent/")
        self.assertEqual(check(longer), [])

    def test_text_that_is_not_json_is_named_by_line(self):
        (finding,) = check(b'{"version": 7,\n "routes": [}')
        self.assertEqual(
            (finding.rule, finding.place), ("malformed", "line 2, column 13")
        )

    def test_odd_values_are_findings(self):
        odd = (b"", b"[]", b"{}", b'{"version":1}', b'{"version":1,"routes":[7]}')
        for data in (*odd, b"\xff", b"[" * 5000):
            with self.subTest(data=data[:20]):
                self.assertTrue(check(data))


class ChangeTests(unittest.TestCase):
    def test_differences_from_the_configuration_in_force(self):
        changed = OTHER | {"stretch": 2.5}
        after, _ = read_configuration(configuration((changed, ROUTE | {"name": "new"})))
        before, _ = read_configuration(configuration(version=6))
        found = [(f.place, f.rule, f.detail) for f in find_changes(after, before)]
        self.assertEqual(
            found,
            [
                ("quotes", "removed", "queue quotes is removed"),
                ("prices", "changed", "queue prices: stretch 1.5 -> 2.5"),
                ("new", "added", "queue new is added"),
            ],
        )
        self.assertEqual(list(find_changes(after, after))[0].rule, "version-not-newer")


class CommandTests(unittest.TestCase):
    def run_check(self, data, arguments=""):
        with tempfile.TemporaryDirectory() as folder:
            files = {"new.json": data, "old.json": configuration(version=6)}
            for name, content in files.items():
                (Path(folder) / name).write_bytes(content)
            tester = CommandTester(make_application().find("config check"))
            arguments = arguments.replace("old.json", f"{folder}/old.json")
            code = tester.execute(f"{folder}/new.json {arguments}")
            return code, tester.io.fetch_output()

    def test_exit_code_tells_whether_there_is_an_error(self):
        self.assertEqual(self.run_check(configuration()), (0, "no findings\n"))
        code, output = self.run_check(FAULTS["unused-service"][0])
        self.assertEqual(code, 0)
        self.assertIn("warning: services[1]: unused-service: ", output)
        code, output = self.run_check(FAULTS["hidden"][0], "--format json")
        self.assertEqual(code, 2)
        self.assertEqual(json.loads(output)["findings"][0]["rule"], "hidden")

    def test_changes_are_no_errors(self):
        code, output = self.run_check(with_route(stretch=2.0), "--in-force old.json")
        self.assertEqual(code, 0)
        self.assertIn("change: prices: changed: queue prices: stretch", output)


class LogTests(unittest.TestCase):
    def test_lines_of_one_configuration_are_bounded(self):
        routes = [ROUTE | {"name": f"q{i}", "max_attempts": 0} for i in range(100)]
        with logbook.TestHandler() as handler:
            log_faults(configuration(routes))
            log_faults(b"{")
        numbers = [record.extra["number"] for record in handler.records]
        self.assertEqual(numbers, [events.CONFIG_FINDING.number] * 21)
