"""Base class, common options and exit codes of the ``rattanwing`` commands."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

from rattanwing.cmd.client import EntryClient, UnconfirmedError, UnreachableError
from rattanwing.cmd.output import to_json, to_table
from rattanwing.errors import RejectedError, SettingsError

if TYPE_CHECKING:
    from cleo.io.inputs.option import Option

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNCONFIRMED = 3
EXIT_UNREACHABLE = 4
DEFAULT_ENTRY = "127.0.0.1:8080"

FORMAT = option(
    "format", None, "output format: text or json", flag=False, default="text"
)
ENTRY = option(
    "entry",
    None,
    "ip:port of an entry; default RATTANWING_ENTRY, else 127.0.0.1:8080",
    flag=False,
    multiple=True,
)
AUTHOR = option(
    "author",
    None,
    "operator to record; only configuration changes check what this operator may do; "
    "default RATTANWING_AUTHOR",
    flag=False,
)
SETTLE = option(
    "settle",
    None,
    "overwrite what others changed meanwhile; only this month's owner, by the "
    "declared organisation, may",
)
PRUNE = option("prune", None, "also remove nodes that the directory does not declare")


class BaseCommand(Command):
    """Base class of the commands.

    :cvar common: options that the command takes besides its own.
    :cvar example: arguments of an example call, shown by ``--help``.
    """

    common: ClassVar[list[Option]] = [ENTRY, FORMAT]
    example = ""

    def __init__(self) -> None:
        self.options = [*self.own_options(), *self.common]
        self.help = f"Example:\n  <info>rattanwing {self.example}</info>"
        super().__init__()

    def own_options(self) -> list[Option]:
        """Return the options that only this command takes."""
        return []

    def handle(self) -> int:
        """Run the command and return its exit code; errors are printed."""
        try:
            return self.run_command()
        except SettingsError as error:
            return self.print_error(EXIT_USAGE, "faults", error.problems)
        except RejectedError as error:
            return self.print_error(EXIT_REFUSED, error.rule, [error.detail])
        except UnconfirmedError as error:
            return self.print_error(EXIT_UNCONFIRMED, "unconfirmed", [str(error)])
        except UnreachableError as error:
            return self.print_error(EXIT_UNREACHABLE, "unreachable", [str(error)])

    def run_command(self) -> int:
        """Run the command and return its exit code."""
        raise NotImplementedError

    def print_error(self, code: int, rule: str, details: list[str]) -> int:
        """Print an error as text or JSON and return the exit code ``code``."""
        if self.wants_json():
            self.line(to_json({"error": rule, "details": details}))
            return code
        for detail in details:
            self.line_error(f"{rule}: {detail}")
        return code

    def wants_json(self) -> bool:
        """Return whether the output format is JSON."""
        return self.option("format") == "json"

    def make_client(self) -> EntryClient:
        """Return a client of the entries.

        They are taken from ``--entry``, else from ``RATTANWING_ENTRY``, which lists
        them separated by commas, else from ``DEFAULT_ENTRY``.
        """
        entries = self.option("entry")
        if not entries:
            entries = os.environ.get("RATTANWING_ENTRY", DEFAULT_ENTRY).split(",")
        return EntryClient(entries)

    def author(self) -> str:
        """Return the name of the operator who makes a change.

        :raises SettingsError: if no name is given.
        """
        name = self.option("author") or os.environ.get("RATTANWING_AUTHOR")
        if not name:
            raise SettingsError(["author: give --author or set RATTANWING_AUTHOR"])
        return name

    def print_rows(self, rows: list[dict[str, Any]], columns: list[str]) -> int:
        """Print rows as a table or as JSON."""
        self.line(to_json(rows) if self.wants_json() else to_table(rows, columns))
        return EXIT_OK

    def print_result(self, result: dict[str, Any], text: str) -> int:
        """Print ``result`` as JSON, or ``text`` in text format."""
        self.line(to_json(result) if self.wants_json() else text)
        return EXIT_OK
