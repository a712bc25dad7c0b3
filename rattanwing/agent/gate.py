"""The freshness gate: tasks start only under a configuration known to be new."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.leases import MAX_CONFIG_AGE_S
from rattanwing.messages import ConfigView

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.messages import HeartbeatAck


class FreshnessGate:
    """The agent's configuration, and until when it may be trusted.

    Emits ``view-changed`` after each newer view.

    :param failure_domain: where this agent's host stands.
    """

    __slots__ = ("app", "failure_domain", "view", "confirmed_at")

    def __init__(self, app: Application, failure_domain: str) -> None:
        self.app = app
        self.failure_domain = failure_domain
        self.view = ConfigView(-1, [], {})
        self.confirmed_at = float("-inf")

    def handle_view(self, view: ConfigView) -> None:
        """Apply a view; an older one than the applied has no effect."""
        if view.offset <= self.view.offset:
            return
        self.view = view
        self.app.emit("view-changed")

    def handle_ack(self, ack: HeartbeatAck) -> None:
        """Take note that the view was current ``config_age_s`` before the echo.

        The echo is this agent's own clock, so a message that was held up on
        its way makes the confirmation older, never newer.
        """
        if ack.config_offset > self.view.offset:
            return
        self.confirmed_at = max(self.confirmed_at, ack.echo - ack.config_age_s)

    def start_deadline(self) -> float:
        """Return until when tasks may start, on this host's clock."""
        return self.confirmed_at + MAX_CONFIG_AGE_S

    def is_domain_out(self) -> bool:
        """Return whether this failure domain is taken out."""
        return self.failure_domain in self.view.domains_out

    def refusal_reason(self, now: float) -> str | None:
        """Return why no task may start at ``now``, or ``None``."""
        if self.is_domain_out():
            return "domain-out"
        if now > self.start_deadline():
            return "config-not-fresh"
        return None


def setup(app: Application) -> None:
    """Register the service ``gate``."""
    app.add_service("gate", FreshnessGate(app, app.settings.failure_domain))
