"""The operators' tool ``rattanwing``."""

from __future__ import annotations

import sys

from cleo.application import Application

from rattanwing import __version__
from rattanwing.cmd.config_commands import (
    ApplyCommand,
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
