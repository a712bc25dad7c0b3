"""Commands for jobs."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument, option

from rattanwing.cmd.base import AUTHOR, BaseCommand
from rattanwing.cmd.client import expect_ok
from rattanwing.errors import SettingsError

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

JOB_COLUMNS = ["job", "team", "state", "urgency", "attempt", "worker", "reason"]
JOB_ARGUMENT = argument("job", "id of the job")


class JobSubmitCommand(BaseCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submit a job from a JSON file"
    example = "job submit match-archives.json"
    arguments: ClassVar[list[Argument]] = [
        argument(
            "file", "JSON file with the job: id, team, cpu, memory_mb, optional fields"
        )
    ]

    def run_command(self) -> int:
        """Submit the job and print a message once an entry has confirmed it."""
        file = Path(self.argument("file"))
        try:
            spec = msgspec.json.decode(file.read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise SettingsError([f"{file}: {error}"]) from error
        if not isinstance(spec, dict) or "id" not in spec:
            raise SettingsError([f"{file}: id: missing"])
        self.make_client().submit_job(spec)
        return self.print_result(
            {"accepted": True, "job": spec["id"]}, f"accepted: {spec['id']}"
        )


class JobListCommand(BaseCommand):
    """Lists jobs."""

    name = "job list"
    description = "List jobs"
    example = "job list --team lamps --state held"

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [
            option("team", None, "only jobs of this team", flag=False),
            option(
                "state",
                None,
                "only jobs in this state: pending, placed, held, finished or cancelled",
                flag=False,
            ),
        ]

    def run_command(self) -> int:
        """Print the jobs."""
        filters = [(key, self.option(key)) for key in ("team", "state")]
        query = "&".join(f"{key}={value}" for key, value in filters if value)
        return self.print_rows(
            self.make_client().get(f"/api/jobs?{query}"), JOB_COLUMNS
        )


class JobShowCommand(BaseCommand):
    """Shows one job."""

    name = "job show"
    description = "Show one job"
    example = "job show match-archives-2026-12"
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]

    def run_command(self) -> int:
        """Print the job's fields."""
        row = self.make_client().get(f"/api/jobs/{self.argument('job')}")
        if self.wants_json():
            return self.print_result(row, "")
        rows = [{"field": key, "value": value} for key, value in row.items()]
        return self.print_rows(rows, ["field", "value"])


class JobCancelCommand(BaseCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job"
    example = "job cancel match-archives-2026-12 --author ada"
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [AUTHOR]

    def run_command(self) -> int:
        """Request the cancellation; the job may still finish before it takes effect."""
        job = self.argument("job")
        target = f"/api/jobs/{job}?author={self.author()}"
        body = expect_ok(*self.make_client().call("DELETE", target))
        return self.print_result(body, f"cancellation recorded: {job}")


class JobResumeCommand(BaseCommand):
    """Allows a held job to run again."""

    name = "job resume"
    description = "Let a held job run again"
    example = "job resume claim-letters-17 --author ada"
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [AUTHOR]

    def run_command(self) -> int:
        """Resume the job."""
        job = self.argument("job")
        target = f"/api/jobs/{job}/resume?author={self.author()}"
        body = expect_ok(*self.make_client().call("POST", target))
        return self.print_result(body, f"resumed: {job}")
