"""The operators' tool ``rattanwing``."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from rattanwing import __version__
from rattanwing.cmd.client import (
    EntryClient,
    UnconfirmedError,
    UnreachableError,
    expect_ok,
)
from rattanwing.cmd.declared import plan_edits, read_directory, to_changes
from rattanwing.cmd.output import to_json, to_table, to_time
from rattanwing.errors import RejectedError, SettingsError
from rattanwing.settings import load_settings

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNCONFIRMED = 3
EXIT_UNREACHABLE = 4
DEFAULT_ENTRY = "127.0.0.1:8080"

FORMAT = option("format", None, "text or json", flag=False, default="text")
ENTRY = option(
    "entry", None, "ip:port of an entry; may be given again", flag=False, multiple=True
)
AUTHOR = option("author", None, "operator who makes the change", flag=False)
SETTLE = option("settle", None, "override versions, as this month's owner")
PRUNE = option("prune", None, "also remove what the directory does not declare")


class BaseCommand(Command):
    """Shares options, output and exit codes."""

    common: ClassVar[list[Option]] = [ENTRY, FORMAT]
    example = ""

    def __init__(self) -> None:
        self.options = [*self.own_options(), *self.common]
        self.help = f"Example:\n  <info>rattanwing {self.example}</info>"
        super().__init__()

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return []

    def handle(self) -> int:
        """Run the command and turn errors into exit codes."""
        try:
            return self.run_command()
        except SettingsError as error:
            return self.fail(EXIT_USAGE, "faults", error.problems)
        except RejectedError as error:
            return self.fail(EXIT_REFUSED, error.rule, [error.detail])
        except UnconfirmedError as error:
            return self.fail(EXIT_UNCONFIRMED, "unconfirmed", [str(error)])
        except UnreachableError as error:
            return self.fail(EXIT_UNREACHABLE, "unreachable", [str(error)])

    def run_command(self) -> int:
        """Run the command."""
        raise NotImplementedError

    def fail(self, code: int, rule: str, details: list[str]) -> int:
        """Print an error for a person or a program."""
        if self.wants_json():
            self.line(to_json({"error": rule, "details": details}))
            return code
        for detail in details:
            self.line_error(f"{rule}: {detail}")
        return code

    def wants_json(self) -> bool:
        """Return whether the output is for a program."""
        return self.option("format") == "json"

    def client(self) -> EntryClient:
        """Return a client of the named entries."""
        named = self.option("entry")
        if not named:
            named = os.environ.get("RATTANWING_ENTRY", DEFAULT_ENTRY).split(",")
        return EntryClient(named)

    def author(self) -> str:
        """Return the operator's name.

        :raises SettingsError: when none is given.
        """
        name = self.option("author") or os.environ.get("RATTANWING_AUTHOR")
        if not name:
            raise SettingsError(["author: give --author or set RATTANWING_AUTHOR"])
        return name

    def show(self, rows: list[dict[str, Any]], columns: list[str]) -> int:
        """Print rows as a table or as JSON."""
        self.line(to_json(rows) if self.wants_json() else to_table(rows, columns))
        return EXIT_OK

    def done(self, result: dict[str, Any], text: str) -> int:
        """Print the result of a change."""
        self.line(to_json(result) if self.wants_json() else text)
        return EXIT_OK


class SettingsCheckCommand(BaseCommand):
    """Checks settings files."""

    name = "settings check"
    description = "Check settings files and report every fault"
    example = "settings check examples/lucegiro/entry-1.json"
    arguments: ClassVar[list[Argument]] = [
        argument("files", "files to check", multiple=True)
    ]

    def run_command(self) -> int:
        """Check each file."""
        problems = []
        for name in self.argument("files"):
            try:
                load_settings(Path(name))
            except SettingsError as error:
                problems += [f"{name}: {problem}" for problem in error.problems]
        if problems:
            raise SettingsError(problems)
        return self.done({"ok": True}, "settings are fine")


class PlanCommand(BaseCommand):
    """Shows what a directory would change."""

    name = "plan"
    description = "Show what a directory of declarations would change"
    example = "plan declarations/"
    arguments: ClassVar[list[Argument]] = [argument("directory", "declarations")]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [PRUNE]

    def run_command(self) -> int:
        """Print the planned edits."""
        wanted = read_directory(Path(self.argument("directory")))
        nodes = self.client().get("/api/config")["nodes"]
        edits = plan_edits(wanted, nodes, self.option("prune"))
        rows = msgspec.to_builtins(edits)
        if not rows and not self.wants_json():
            self.line("nothing to change")
            return EXIT_OK
        return self.show(rows, ["action", "path", "old", "value"])


class ApplyCommand(PlanCommand):
    """Makes the tree equal to a directory."""

    name = "apply"
    description = "Apply a directory of declarations"
    example = "apply declarations/ --author ada"
    arguments: ClassVar[list[Argument]] = [argument("directory", "declarations")]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [PRUNE, AUTHOR, SETTLE]

    def run_command(self) -> int:
        """Apply the planned edits; each change as a whole or not at all."""
        author = self.author()
        client = self.client()
        wanted = read_directory(Path(self.argument("directory")))
        nodes = client.get("/api/config")["nodes"]
        edits = plan_edits(wanted, nodes, self.option("prune"))
        version = None
        for change in to_changes(edits, "organisation" in nodes):
            version = client.change_config(author, change, self.option("settle"))
        text = "nothing to change"
        if version is not None:
            text = f"accepted: {len(edits)} edits, version {version}"
        return self.done({"edits": len(edits), "version": version}, text)


class DomainListCommand(BaseCommand):
    """Lists failure domains."""

    name = "domain list"
    description = "List failure domains"
    example = "domain list"

    def run_command(self) -> int:
        """Print the failure domains."""
        rows = self.client().get("/api/domains")
        return self.show(rows, ["failure_domain", "state", "agents", "version"])


class DomainOutCommand(BaseCommand):
    """Takes a failure domain out."""

    name = "domain out"
    description = "Take a failure domain out of service"
    example = "domain out fd-milano --author ada"
    state = "out"
    arguments: ClassVar[list[Argument]] = [argument("domain", "failure domain")]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [AUTHOR, SETTLE]

    def run_command(self) -> int:
        """Change the domain's state."""
        author = self.author()
        client = self.client()
        domain = self.argument("domain")
        path = f"failure-domains/{domain}"
        node = client.get("/api/config")["nodes"].get(path)
        value = {**(node["value"] if node else {}), "state": self.state}
        edit = {"path": path, "base": node["version"] if node else 0, "value": value}
        version = client.change_config(author, [edit], self.option("settle"))
        result = {"failure_domain": domain, "state": self.state, "version": version}
        return self.done(result, f"{domain} is {self.state}, version {version}")


class DomainInCommand(DomainOutCommand):
    """Brings a failure domain back."""

    name = "domain in"
    description = "Bring a failure domain back into service"
    example = "domain in fd-milano --author ada"
    state = "in"
    arguments: ClassVar[list[Argument]] = [argument("domain", "failure domain")]


JOB_COLUMNS = ["job", "team", "state", "urgency", "attempt", "worker", "reason"]
JOB_ARGUMENT = argument("job", "name of the job")


class JobSubmitCommand(BaseCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submit a job from a JSON file"
    example = "job submit match-archives.json"
    arguments: ClassVar[list[Argument]] = [argument("file", "job specification")]

    def run_command(self) -> int:
        """Submit the job and say accepted once it was read back."""
        file = Path(self.argument("file"))
        try:
            spec = msgspec.json.decode(file.read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise SettingsError([f"{file}: {error}"]) from error
        if not isinstance(spec, dict) or "id" not in spec:
            raise SettingsError([f"{file}: id: missing"])
        self.client().submit_job(spec)
        return self.done(
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
            option("team", None, "only this team's", flag=False),
            option("state", None, "only in this state", flag=False),
        ]

    def run_command(self) -> int:
        """Print the jobs."""
        wanted = [(key, self.option(key)) for key in ("team", "state")]
        query = "&".join(f"{key}={value}" for key, value in wanted if value)
        return self.show(self.client().get(f"/api/jobs?{query}"), JOB_COLUMNS)


class JobShowCommand(BaseCommand):
    """Shows one job."""

    name = "job show"
    description = "Show one job"
    example = "job show match-archives-2026-12"
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]

    def run_command(self) -> int:
        """Print the job's fields."""
        row = self.client().get(f"/api/jobs/{self.argument('job')}")
        if self.wants_json():
            return self.done(row, "")
        rows = [{"field": key, "value": value} for key, value in row.items()]
        return self.show(rows, ["field", "value"])


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
        """Ask for the end of the job."""
        job = self.argument("job")
        target = f"/api/jobs/{job}?author={self.author()}"
        body = expect_ok(*self.client().call("DELETE", target))
        return self.done(body, f"cancelled: {job}")


class JobResumeCommand(BaseCommand):
    """Lets a held job run again."""

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
        body = expect_ok(*self.client().call("POST", target))
        return self.done(body, f"resumed: {job}")


class ServiceListCommand(BaseCommand):
    """Lists services and their executors."""

    name = "service list"
    description = "List services and their executors"
    example = "service list"

    def run_command(self) -> int:
        """Print a row for each executor."""
        services = self.client().get("/api/services")
        if self.wants_json():
            self.line(to_json(services))
            return EXIT_OK
        columns = ["service", "agent", "failure_domain", "connected", "leaving"]
        rows = [
            {"service": service["service"], **executor}
            for service in services
            for executor in service["executors"] or [{}]
        ]
        return self.show(rows, [*columns, "slots", "busy", "queued"])


class WorkerListCommand(BaseCommand):
    """Lists workers."""

    name = "worker list"
    description = "List workers"
    example = "worker list"

    def run_command(self) -> int:
        """Print the workers."""
        columns = ["worker", "failure_domain", "rack", "connected", "leaving"]
        columns += ["quarantined", "cpu", "free_cpu", "memory_mb", "free_memory_mb"]
        return self.show(self.client().get("/api/workers"), columns)


class StatusCommand(BaseCommand):
    """Summarises an entry."""

    name = "status"
    description = "Summarise an entry"
    example = "status --entry 127.0.0.1:8080"

    def run_command(self) -> int:
        """Print the summary."""
        status = self.client().get("/api/status")
        if self.wants_json():
            self.line(to_json(status))
            return EXIT_OK
        latencies = status.pop("latencies")
        rows = [{"field": key, "value": value} for key, value in status.items()]
        self.line(to_table(rows, ["field", "value"]))
        self.line("")
        columns = ["service", "class", "count", "p50_ms", "p99_ms"]
        return self.show(latencies, columns)


class AuditCommand(BaseCommand):
    """Shows who changed what."""

    name = "audit"
    description = "Show who changed what, from, to, and the verdict"
    example = "audit --limit 20"

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [option("limit", None, "newest rows", flag=False, default="50")]

    def run_command(self) -> int:
        """Print the audit trail, oldest first."""
        rows = self.client().get(f"/api/audit?limit={self.option('limit')}")
        if self.wants_json():
            self.line(to_json(rows))
            return EXIT_OK
        for row in rows:
            row["time"] = to_time(row["time"])
            row["verdict"] = row["rule"] or "accepted"
        columns = ["offset", "time", "author", "path", "old", "new", "verdict"]
        return self.show(rows, columns)


COMMANDS = (
    SettingsCheckCommand,
    PlanCommand,
    ApplyCommand,
    DomainListCommand,
    DomainOutCommand,
    DomainInCommand,
    JobSubmitCommand,
    JobListCommand,
    JobShowCommand,
    JobCancelCommand,
    JobResumeCommand,
    ServiceListCommand,
    WorkerListCommand,
    StatusCommand,
    AuditCommand,
)


def make_application() -> Application:
    """Return the tool with all its commands."""
    application = Application("rattanwing", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the tool and return its exit code."""
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
