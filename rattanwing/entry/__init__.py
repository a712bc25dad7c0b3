"""The ``entry`` role: HTTP interfaces, request routing and job scheduling."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from rattanwing.application import Application

EXTENSIONS = (
    "rattanwing.metrics",
    "rattanwing.entry.config",
    "rattanwing.entry.agents",
    "rattanwing.entry.shards",
    "rattanwing.entry.peers",
    "rattanwing.entry.dispatch",
    "rattanwing.entry.keys",
    "rattanwing.entry.ownership",
    "rattanwing.entry.usage",
    "rattanwing.entry.interference",
    "rattanwing.entry.quarantine",
    "rattanwing.entry.estimates",
    "rattanwing.entry.scheduler",
    "rattanwing.entry.reconciler",
    "rattanwing.entry.callers",
    "rattanwing.entry.operators",
)
"""Modules in the order of their ``setup`` calls; a later one may look up services
that an earlier one registers."""


def setup(app: Application) -> None:
    """Load the services of an entry."""
    for module in EXTENSIONS:
        app.setup_extension(module)
