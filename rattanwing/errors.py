"""The exception tree of rattanwing."""

from __future__ import annotations


class RattanwingError(Exception):
    """Base of every error that rattanwing raises on purpose."""


class SettingsError(RattanwingError):
    """Settings that can't be used.

    :param problems: one line per fault, each starting with its path.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class RegistryError(RattanwingError):
    """A service is missing from the registry or registered twice."""


class ProtocolError(RattanwingError):
    """A peer sent a message that does not decode or has no place here."""


class PeerLostError(RattanwingError):
    """The stream to a peer ended or fell silent."""


class LogError(RattanwingError):
    """Base of the errors of the platform's log."""


class LogUnavailableError(LogError):
    """The log gave no answer in time, or refused.

    :param applied: whether an append may have taken effect.
    """

    def __init__(self, detail: str = "", applied: bool = True) -> None:
        super().__init__(detail)
        self.applied = applied


class LogConditionError(LogError):
    """The topic did not end where the append demanded."""


class LogSequenceError(LogError):
    """The store expects another sequence number of this writer.

    :param expected: the sequence number that it would take.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects sequence number {expected}")
        self.expected = expected


class LogFencedError(LogError):
    """A writer of a higher epoch has taken over."""


class RecordExpiredError(LogError):
    """The wanted offset is older than the oldest record that is kept.

    :param first: the oldest offset that the log still holds.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class RecordError(LogError):
    """A record of the log does not parse."""


class RejectedError(RattanwingError):
    """A request or change was refused before it took effect.

    :param rule: short name of the rule that refused it.
    :param detail: one sentence for a person.
    """

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule
        self.detail = detail
