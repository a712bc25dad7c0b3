"""The verdict on a call: whether it ran, did not run, or may have run."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """What the sender of a request knows about its execution.

    ``NOT_RUN``: the request was not executed and can be sent again safely.
    ``RAN``: it was executed and the whole answer has arrived.
    ``MAY_HAVE_RUN``: no complete answer has arrived, so either is possible.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
