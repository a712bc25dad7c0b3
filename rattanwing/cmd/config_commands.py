"""Commands for settings files, declarations and failure domains."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, ClassVar

import msgspec
from cleo.helpers import argument

from rattanwing.cmd.base import AUTHOR, EXIT_OK, PRUNE, SETTLE, BaseCommand
from rattanwing.cmd.declared import plan_edits, read_directory, to_changes
from rattanwing.errors import SettingsError
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
