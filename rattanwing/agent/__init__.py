"""Role ``agent``: the authority on one host's executor and worker."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.application import Application


def setup(app: Application) -> None:
    """Load the services that the agent's settings ask for."""
    settings = app.settings.agent
    app.setup_extension("rattanwing.metrics")
    app.setup_extension("rattanwing.agent.gate")
    if settings.executor is not None:
        app.setup_extension("rattanwing.agent.requests")
    if settings.worker is not None:
        app.setup_extension("rattanwing.agent.reports")
        app.setup_extension("rattanwing.agent.tasks")
    if settings.executor is not None and settings.worker is not None:
        app.setup_extension("rattanwing.agent.colocation")
    app.setup_extension("rattanwing.agent.connector")
    if settings.http is not None:
        app.setup_extension("rattanwing.agent.web")
