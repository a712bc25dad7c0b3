"""Role ``entry``: callers, operators, routing and shard ownership."""

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


def setup(app: Application) -> None:
    """Load the services of an entry."""
    for module in EXTENSIONS:
        app.setup_extension(module)
