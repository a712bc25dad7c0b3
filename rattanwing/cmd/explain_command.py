"""The command that shows the history of a job from logs."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

from cleo.helpers import argument

from rattanwing.cmd.base import FORMAT, BaseCommand
from rattanwing.cmd.output import to_json
from rattanwing.errors import RejectedError, SettingsError
from rattanwing.explain import explain, to_text

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class ExplainCommand(BaseCommand):
    """Shows the history of one job from the logs of several processes."""

    name = "explain"
    description = "Show the history of one job from the logs of all processes"
    example = "explain 5c0e7a21d94b36f8 entry-1.log agent-3.log"
    common: ClassVar[list[Option]] = [FORMAT]
    arguments: ClassVar[list[Argument]] = [
        argument("id", "id of the job"),
        argument(
            "files",
            "log files; standard input if none is given",
            optional=True,
            multiple=True,
        ),
    ]

    def run_command(self) -> int:
        """Print the lines that explain the job, sorted by time."""
        lines = explain(self.read_lines(), self.argument("id"))
        if not lines:
            raise RejectedError("unknown-id", "no line of these logs mentions this job")
        for line in lines:
            self.line(to_json(line) if self.wants_json() else to_text(line))
        return 0

    def read_lines(self) -> list[str]:
        """Return the lines of all files, or of standard input if none is given."""
        files = self.argument("files") or []
        if not files:
            return sys.stdin.readlines()
        lines: list[str] = []
        for name in files:
            try:
                lines += Path(name).read_text(errors="replace").splitlines()
            except OSError as error:
                raise SettingsError([f"{name}: {error.strerror}"]) from error
        return lines
