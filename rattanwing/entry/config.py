"""The entry's folded configuration, and the part that agents obey."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.config.tree import ConfigTree
from rattanwing.log.stream import LogStream
from rattanwing.messages import ConfigState, ConfigView

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.log.stream import Outcome
    from rattanwing.messages import HeartbeatAck

STREAM = "config"


class ConfigService:
    """Tails the configuration and tells when it changes.

    Emits ``config-changed`` after each accepted change.
    """

    __slots__ = ("app", "tree", "stream")

    def __init__(self, app: Application) -> None:
        settings = app.settings.entry
        self.app = app
        self.tree = ConfigTree()
        self.stream = LogStream(
            app.get("log"), STREAM, self.tree, app.now, settings.snapshot_interval_s
        )
        self.stream.on_applied.append(self.handle_outcome)

    def handle_outcome(self, outcome: Outcome, _time: float, _record: bytes) -> None:
        """Write an event for each record and announce accepted changes."""
        if not outcome.accepted:
            events.write(
                events.RECORD_REFUSED,
                stream=STREAM,
                offset=outcome.offset,
                rule=outcome.rule,
            )
            return
        events.write(events.CONFIG_APPLIED, offset=outcome.offset)
        self.app.emit("config-changed")

    def age_s(self, now: float) -> float:
        """Return seconds since the configuration was known to be complete."""
        age = now - self.stream.confirmed_at
        return age if math.isfinite(age) else 1e9

    def handle_confirmation(self, ack: HeartbeatAck) -> bool:
        """Take another entry's word on how new the configuration is.

        :returns: false when that entry knows a newer configuration.
        """
        if ack.config_offset > self.tree.changed_at:
            return False
        self.stream.confirm(ack.echo - ack.config_age_s)
        return True

    def make_state(self) -> ConfigState:
        """Return the folded configuration for an entry that is behind."""
        upto = self.stream.next_offset
        return ConfigState(upto, self.tree.make_snapshot(f"state-{upto}", upto))

    def handle_state(self, state: ConfigState) -> None:
        """Adopt the configuration of another entry that is ahead."""
        if self.stream.adopt(state.upto, state.snapshot):
            events.write(events.CONFIG_ADOPTED, upto=state.upto)
            self.app.emit("config-changed")

    def make_view(self) -> ConfigView:
        """Return the part of the configuration that agents obey."""
        targets = {
            name: service.latency_target_ms
            for name, service in self.tree.services().items()
        }
        return ConfigView(self.tree.changed_at, self.tree.domains_out(), targets)


def setup(app: Application) -> None:
    """Register the service ``config``."""
    service = ConfigService(app)
    app.add_service("config", service)
    app.add_task(service.stream.run)
