from __future__ import annotations

import subprocess
import sys
import unittest

from rattanwing.cmd.cli import COMMANDS, usage_text


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
