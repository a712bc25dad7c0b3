"""The exception hierarchy of rattanwing."""

from __future__ import annotations


class RattanwingError(Exception):
    """Base class of all exceptions that rattanwing defines."""


class SettingsError(RattanwingError):
    """Settings or declarations are invalid or can't be read.

    :param problems: one line per problem, each starting with the path of the
        faulty value.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class RegistryError(RattanwingError):
    """A service is missing from the registry or registered twice."""


class MalformedError(RattanwingError):
    """Bytes from elsewhere do not decode, or not to the expected type."""


class ProtocolError(RattanwingError):
    """A peer sent a message that does not decode or is not expected here."""


class PeerLostError(RattanwingError):
    """The stream to a peer ended, timed out or could not be opened."""


class LogError(RattanwingError):
    """Base class of the errors of the platform's log (streams) or store (topics)."""


class LogUnavailableError(LogError):
    """The log or store did not answer in time or answered with an error.

    :param may_have_applied: whether an append may have taken effect.
    """

    def __init__(self, detail: str = "", may_have_applied: bool = True) -> None:
        super().__init__(detail)
        self.may_have_applied = may_have_applied


class LogConditionError(LogError):
    """The topic's end differs from the end that the append expected."""


class LogSequenceError(LogError):
    """The store expects a different sequence number from this writer.

    :param expected: the sequence number that the store accepts next.
    """

    def __init__(self, expected: int) -> None:
        super().__init__(f"the store expects sequence number {expected}")
        self.expected = expected


class LogFencedError(LogError):
    """A writer with a higher epoch has taken over."""


class RecordExpiredError(LogError):
    """The requested offset is older than the oldest record that is kept.

    :param first: offset of the oldest record that is kept.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f"records before offset {first} have expired")
        self.first = first


class RecordError(LogError):
    """A record of the log or store can't be parsed."""


class RejectedError(RattanwingError):
    """A request or change was refused before it took effect.

    :param rule: short name of the rule that was violated.
    :param detail: one sentence that explains the refusal.
    """

    def __init__(self, rule: str, detail: str) -> None:
        super().__init__(f"{rule}: {detail}")
        self.rule = rule
        self.detail = detail
