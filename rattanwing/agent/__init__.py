"""Role ``agent``: manages the executor and the worker of one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.application import Application


def setup(app: Application) -> None:
    """Load the services for the parts that the agent's settings contain."""
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
