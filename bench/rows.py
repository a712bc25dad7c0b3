"""One result of a benchmark, printed as one JSON object a line."""

from __future__ import annotations

import json
import statistics
from dataclasses import dataclass


@dataclass
class Row:
    """A measured value against its bound.

    :param bound: the stated target, or ``None`` for a value without one.
    :param at_least: whether the bound is a lower one.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False
    detail: dict | None = None

    @property
    def ok(self) -> bool:
        """Whether the bound is kept."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def to_json(self) -> str:
        """Return the printed form."""
        row = {
            "name": self.name,
            "value": round(self.value, 4),
            "unit": self.unit,
            "bound": self.bound,
            "ok": self.ok,
        }
        if self.detail:
            row["detail"] = self.detail
        return json.dumps(row)


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of a straight line through points."""
    xs, ys = zip(*points, strict=True)
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of all lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
