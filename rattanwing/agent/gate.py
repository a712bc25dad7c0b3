"""The freshness gate: tasks start only under a recently confirmed configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.leases import MAX_CONFIG_AGE_S
from rattanwing.messages import ConfigView

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.messages import HeartbeatAck


class FreshnessGate:
    """Refuses task starts unless the configuration is recent and allows them.

    Holds the agent's view of the configuration and the latest time for which an
    entry has confirmed it. Starts are refused while that time is more than
    ``MAX_CONFIG_AGE_S`` ago, or if the host's failure domain is out of service.

    Emits ``view-changed`` after each newer view.

    :param failure_domain: failure domain of this agent's host.
    :param confirmed_at: latest time, on this host's monotonic clock, at which the
        view is confirmed to have been current.
    """

    __slots__ = ("app", "failure_domain", "view", "confirmed_at")

    def __init__(self, app: Application, failure_domain: str) -> None:
        self.app = app
        self.failure_domain = failure_domain
        self.view = ConfigView(-1, [], {})
        self.confirmed_at = float("-inf")

    def handle_view(self, view: ConfigView) -> None:
        """Apply a view unless the current one is as new or newer."""
        if view.version <= self.view.version:
            return
        self.view = view
        self.app.emit("view-changed")

    def handle_ack(self, ack: HeartbeatAck) -> None:
        """Confirm that the view was current ``config_age_s`` before the echo.

        The echo is the time on this agent's clock when it sent the heartbeat, so a
        delayed answer confirms an earlier time, never a later one. An answer with a
        newer ``config_version`` than the view's confirms nothing.
        """
        if ack.config_version > self.view.version:
            return
        self.confirmed_at = max(self.confirmed_at, ack.echo - ack.config_age_s)

    def start_deadline(self) -> float:
        """Return the time until which tasks may start, on this host's clock."""
        return self.confirmed_at + MAX_CONFIG_AGE_S

    def is_domain_out(self) -> bool:
        """Return whether this host's failure domain is out of service."""
        return self.failure_domain in self.view.domains_out

    def refusal_reason(self, now: float) -> str | None:
        """Return the reason why no task may start at ``now``, or ``None``."""
        if self.is_domain_out():
            return "domain-out"
        if now > self.start_deadline():
            return "config-not-fresh"
        return None


def setup(app: Application) -> None:
    """Register the service ``gate``."""
    app.add_service("gate", FreshnessGate(app, app.settings.failure_domain))
