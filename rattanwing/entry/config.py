"""The configuration as folded by this entry, and the view of it for agents."""

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
    """Follows the configuration stream and announces changes.

    Emits ``config-changed`` after each accepted change, and after the adoption of
    another entry's configuration.
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
        """Log the outcome of each record and announce accepted changes."""
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
        """Return the seconds since the configuration was last confirmed as complete.

        :returns: 1e9 when it never was.
        """
        age = now - self.stream.confirmed_at
        return age if math.isfinite(age) else 1e9

    def handle_confirmation(self, ack: HeartbeatAck) -> bool:
        """Confirm this entry's configuration by another entry's heartbeat answer.

        ``ack.echo`` is the time on this entry's clock at which it sent the heartbeat.
        The configuration is confirmed as of ``ack.config_age_s`` before that. Network
        delay only makes the confirmation older.

        :returns: false when the other entry has a newer configuration.
        """
        if ack.config_version > self.tree.last_change_version:
            return False
        self.stream.confirm(ack.echo - ack.config_age_s)
        return True

    def make_state(self) -> ConfigState:
        """Return the folded configuration for an entry that is behind."""
        end_offset = self.stream.next_offset
        return ConfigState(
            end_offset, self.tree.make_snapshot(f"state-{end_offset}", end_offset)
        )

    def handle_state(self, state: ConfigState) -> None:
        """Adopt another entry's configuration if it is ahead of this one."""
        if self.stream.adopt_snapshot(state.upto, state.snapshot):
            events.write(events.CONFIG_ADOPTED, upto=state.upto)
            self.app.emit("config-changed")

    def make_view(self) -> ConfigView:
        """Return the part of the configuration that agents apply."""
        targets = {
            name: service.latency_target_ms
            for name, service in self.tree.services().items()
        }
        return ConfigView(
            self.tree.last_change_version, self.tree.domains_out(), targets
        )


def setup(app: Application) -> None:
    """Register the service ``config``."""
    service = ConfigService(app)
    app.add_service("config", service)
    app.add_task(service.stream.run)
