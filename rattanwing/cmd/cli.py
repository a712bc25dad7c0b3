"""The command-line tool ``rattanwing`` for operators."""

from __future__ import annotations

import sys

from cleo.application import Application

from rattanwing import __version__
from rattanwing.cmd.config_commands import (
    ApplyCommand,
    ConfigCheckCommand,
    DomainInCommand,
    DomainListCommand,
    DomainOutCommand,
    PlanCommand,
    SettingsCheckCommand,
)
from rattanwing.cmd.explain_command import ExplainCommand
from rattanwing.cmd.job_commands import (
    JobCancelCommand,
    JobListCommand,
    JobResumeCommand,
    JobShowCommand,
    JobSubmitCommand,
)
from rattanwing.cmd.list_commands import (
    AuditCommand,
    ServiceListCommand,
    StatusCommand,
    WorkerListCommand,
)

COMMANDS = (
    SettingsCheckCommand,
    ConfigCheckCommand,
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
    ExplainCommand,
)


def make_application() -> Application:
    """Return the cleo application with all commands."""
    application = Application("rattanwing", __version__)
    for command in COMMANDS:
        application.add(command())
    return application


def usage_text() -> str:
    """Return the usage text, with one line for each command."""
    width = max(len(command.name) for command in COMMANDS)
    lines = [
        f"  {command.name:<{width}}  {command.description}" for command in COMMANDS
    ]
    return "\n".join(
        [
            "usage: rattanwing COMMAND [options]",
            "",
            *lines,
            "",
            "rattanwing COMMAND --help shows a command's options and an example.",
        ]
    )


def main() -> int:
    """Run the tool and return its exit code."""
    if sys.argv[1:] in ([], ["--help"], ["-h"]):
        print(usage_text())
        return 0
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
