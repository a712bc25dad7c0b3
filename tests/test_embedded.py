from __future__ import annotations

import subprocess
import sys
import unittest

from rattanwing.cmd.cli import COMMANDS, usage_text
from rattanwing.cmd.embedded import embedded_settings


class FirstImpressionTests(unittest.TestCase):
    def test_start_and_planned_stop_print_no_warning(self):
        command = [sys.executable, "-m", "rattanwing.cmd.daemon"]
        done = subprocess.run(
            [*command, "--embedded", "--once"],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertEqual(done.stderr, "")
        self.assertIn("finished", done.stdout)

    def test_help_lists_every_command_in_one_line(self):
        lines = usage_text().splitlines()
        for command in COMMANDS:
            found = [line for line in lines if line.startswith(f"  {command.name} ")]
            self.assertEqual(len(found), 1, command.name)


class AddressTests(unittest.TestCase):
    def addresses(self):
        settings = embedded_settings(None)
        entry, agent = settings.entry, settings.agent
        executor, worker = agent.executor.address, agent.worker.address
        return [entry.http, entry.peers, entry.log, executor, worker]

    def test_no_address_is_given_twice(self):
        doubled = [a for _ in range(8000) if len(set(a := self.addresses())) < len(a)]
        self.assertEqual(doubled, [])
