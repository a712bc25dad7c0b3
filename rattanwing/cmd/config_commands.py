"""Commands for settings files, declarations and failure domains."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
import trio
from cleo.helpers import argument, option

from rattanwing.batch.configuration_check import Severity, find_changes, find_faults
from rattanwing.cmd.base import (
    AUTHOR,
    EXIT_OK,
    EXIT_USAGE,
    FORMAT,
    PRUNE,
    SETTLE,
    BaseCommand,
)
from rattanwing.cmd.client import UnreachableError
from rattanwing.cmd.declared import plan_edits, read_directory, to_changes
from rattanwing.errors import LogError, SettingsError
from rattanwing.platform.configuration_file import read_configuration
from rattanwing.platform.operator import CONFIG_KEY, OPERATOR_TOPIC
from rattanwing.platform.store import PlatformStore
from rattanwing.settings import load_settings

if TYPE_CHECKING:
    from cleo.io.inputs.argument import Argument
    from cleo.io.inputs.option import Option


class SettingsCheckCommand(BaseCommand):
    """Checks settings files."""

    name = "settings check"
    description = "Check settings files of rattanwingd and report the problems found"
    example = "settings check examples/lucegiro/entry-1.json"
    arguments: ClassVar[list[Argument]] = [
        argument("files", "settings files to check", multiple=True)
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
        return self.print_result({"ok": True}, "the settings are valid")


class ConfigCheckCommand(BaseCommand):
    """Checks a configuration before it is written to the platform's store."""

    name = "config check"
    description = "Check a configuration file: faults, and what it would change"
    example = "config check new.json --in-force current.json"
    common: ClassVar[list[Option]] = [FORMAT]
    arguments: ClassVar[list[Argument]] = [
        argument("file", "the configuration to check, as JSON")
    ]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        in_force = "file with the configuration in force, to compare with"
        store = (
            "ip:port of the platform's store, to compare with the one in force there"
        )
        return [
            option("in-force", None, in_force, flag=False),
            option("store", None, store, flag=False),
        ]

    def run_command(self) -> int:
        """Print the findings; the exit code is 2 if one of them is an error."""
        proposed, findings = read_configuration(read_file(self.argument("file")))
        if proposed is not None:
            findings += find_faults(proposed)
        data = self.read_in_force()
        if data is not None and proposed is not None:
            current, problems = read_configuration(data)
            if current is None:
                raise SettingsError(
                    [f"in force: {p.place}: {p.detail}" for p in problems]
                )
            findings += find_changes(proposed, current)
        lines = [
            f"{finding.severity}: {finding.place}: {finding.rule}: {finding.detail}"
            for finding in findings
        ]
        rows = msgspec.to_builtins(findings)
        self.print_result({"findings": rows}, "\n".join(lines) or "no findings")
        failed = any(finding.severity is Severity.ERROR for finding in findings)
        return EXIT_USAGE if failed else EXIT_OK

    def read_in_force(self) -> bytes | None:
        """Return the configuration to compare with; ``None`` if no option names one.

        :raises UnreachableError: when the store does not answer.
        """
        if self.option("in-force"):
            return read_file(self.option("in-force"))
        if not self.option("store"):
            return None
        try:
            return trio.run(read_stored_configuration, self.option("store"))
        except LogError as error:
            raise UnreachableError(str(error)) from error


def read_file(name: str) -> bytes:
    """Return the content of a file.

    :raises SettingsError: when it can't be read.
    """
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise SettingsError([f"{name}: {error.strerror}"]) from error


async def read_stored_configuration(address: str) -> bytes | None:
    """Return the configuration in the store, ``None`` if there is none.

    :raises LogError: when the store does not answer.
    """
    store = PlatformStore(address)
    after = ""
    while True:
        page = await store.list_newest(OPERATOR_TOPIC, after)
        for record in page.records:
            if record.key == CONFIG_KEY:
                return record.value
        if not page.has_more or not page.records:
            return None
        after = page.records[-1].key


class PlanCommand(BaseCommand):
    """Compares a directory of declarations with the configuration."""

    name = "plan"
    description = "Show what a directory of declarations would change"
    example = "plan declarations/"
    arguments: ClassVar[list[Argument]] = [
        argument("directory", "directory of declaration files")
    ]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [PRUNE]

    def run_command(self) -> int:
        """Print the edits that ``apply`` would make."""
        wanted = read_directory(Path(self.argument("directory")))
        nodes = self.make_client().get("/api/config")["nodes"]
        edits = plan_edits(wanted, nodes, self.option("prune"))
        rows = msgspec.to_builtins(edits)
        if not rows and not self.wants_json():
            self.line("nothing to change")
            return EXIT_OK
        return self.print_rows(rows, ["action", "path", "old", "value"])


class ApplyCommand(PlanCommand):
    """Applies the declarations of a directory to the configuration."""

    name = "apply"
    description = "Apply a directory of declarations"
    example = "apply declarations/ --author ada"
    arguments: ClassVar[list[Argument]] = [
        argument("directory", "directory of declaration files")
    ]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [PRUNE, AUTHOR, SETTLE]

    def run_command(self) -> int:
        """Apply the planned edits as one or two atomic changes."""
        author = self.author()
        client = self.make_client()
        wanted = read_directory(Path(self.argument("directory")))
        nodes = client.get("/api/config")["nodes"]
        edits = plan_edits(wanted, nodes, self.option("prune"))
        version = None
        for change in to_changes(edits, "organisation" in nodes):
            version = client.change_config(author, change, self.option("settle"))
        text = "nothing to change"
        if version is not None:
            text = f"accepted: {len(edits)} edits, version {version}"
        return self.print_result({"edits": len(edits), "version": version}, text)


class DomainListCommand(BaseCommand):
    """Lists failure domains."""

    name = "domain list"
    description = "List failure domains"
    example = "domain list"

    def run_command(self) -> int:
        """Print the failure domains."""
        rows = self.make_client().get("/api/domains")
        return self.print_rows(rows, ["failure_domain", "state", "agents", "version"])


class DomainOutCommand(BaseCommand):
    """Takes a failure domain out of service."""

    name = "domain out"
    description = (
        "Stop a failure domain's tasks and start none; "
        "requests go there only if no other domain serves them"
    )
    example = "domain out fd-milano --author ada"
    state = "out"
    arguments: ClassVar[list[Argument]] = [argument("domain", "failure domain")]

    def own_options(self) -> list[Option]:
        """Return the command's own options."""
        return [AUTHOR, SETTLE]

    def run_command(self) -> int:
        """Set the failure domain's state in the configuration."""
        author = self.author()
        client = self.make_client()
        domain = self.argument("domain")
        path = f"failure-domains/{domain}"
        node = client.get("/api/config")["nodes"].get(path)
        value = {**(node["value"] if node else {}), "state": self.state}
        edit = {"path": path, "base": node["version"] if node else 0, "value": value}
        version = client.change_config(author, [edit], self.option("settle"))
        result = {"failure_domain": domain, "state": self.state, "version": version}
        return self.print_result(
            result, f"{domain} is set to {self.state}, version {version}"
        )


class DomainInCommand(DomainOutCommand):
    """Brings a failure domain back into service."""

    name = "domain in"
    description = (
        "Let tasks start in a failure domain again and send it requests as before"
    )
    example = "domain in fd-milano --author ada"
    state = "in"
    arguments: ClassVar[list[Argument]] = [argument("domain", "failure domain")]
