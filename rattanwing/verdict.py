"""The verdict on a request: whether it may have run."""

from __future__ import annotations

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of one request.

    ``NOT_RUN`` is certain, ``RAN`` comes with the whole answer, and
    ``MAY_HAVE_RUN`` is all that is left when an answer was lost.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
