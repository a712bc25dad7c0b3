from __future__ import annotations

import unittest
from pathlib import Path

import logbook
import msgspec

from rattanwing import events
from rattanwing import settings as settings_module
from rattanwing.cmd.cli import COMMANDS
from rattanwing.cmd.declared import read_directory
from rattanwing.settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"


class DocumentationTests(unittest.TestCase):
    def test_event_catalogue_equals_the_code(self):
        text = (DOCS / "events.rst").read_text()
        rows = text.split("   * - ")[2:]
        found = [tuple(part.strip() for part in row.split("     - ")) for row in rows]
        wanted = [
            (str(e.number), logbook.get_level_name(e.level).lower(), e.text)
            for _name, e in events.catalogue()
        ]
        self.assertEqual(found, wanted)

    def test_event_numbers_are_unique(self):
        numbers = [event.number for _name, event in events.catalogue()]
        self.assertEqual(len(numbers), len(set(numbers)))

    def test_every_event_is_written_somewhere(self):
        code = "".join(
            path.read_text()
            for path in (ROOT / "rattanwing").rglob("*.py")
            if path.name != "events.py"
        )
        for name, _event in events.catalogue():
            self.assertIn(f"events.{name}", code)

    def test_settings_reference_names_every_key(self):
        text = (DOCS / "settings.rst").read_text()
        for kind in vars(settings_module).values():
            if not isinstance(kind, type) or not issubclass(kind, msgspec.Struct):
                continue
            for field in msgspec.structs.fields(kind):
                with self.subTest(kind=kind.__name__, field=field.name):
                    self.assertIn(f"``{field.name}``", text)

    def test_operators_page_names_every_command(self):
        text = (DOCS / "operators.rst").read_text()
        for command in COMMANDS:
            self.assertIn(f"rattanwing {command.name}", text)


class ExampleTests(unittest.TestCase):
    def test_example_settings_have_no_faults(self):
        files = sorted((ROOT / "examples").glob("*/*.json"))
        self.assertEqual(len(files), 8)
        for file in files:
            with self.subTest(file=file.name):
                load_settings(file)

    def test_example_declarations_have_no_faults(self):
        for site in ("lucegiro", "olrhain"):
            folder = ROOT / "examples" / site / "declarations"
            self.assertEqual(len(read_directory(folder)), 6)
