"""The result of a benchmark and the statistics behind it."""

from __future__ import annotations

import json
import statistics
from dataclasses import dataclass


@dataclass
class Row:
    """A measured value and its bound.

    :param bound: limit of the value; ``None`` for a value without a limit.
    :param at_least: whether the bound is a lower limit instead of an upper one.
    :param detail: more values that are printed with the row.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False
    detail: dict | None = None

    @property
    def ok(self) -> bool:
        """Whether the value is within its bound."""
        if self.bound is None:
            return True
        if self.at_least:
            return self.value >= self.bound
        return self.value <= self.bound

    def to_json(self) -> str:
        """Return the row as a JSON object."""
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
    """Return the slope and intercept of the least-squares line through points."""
    xs, ys = zip(*points, strict=True)
    fit = statistics.linear_regression(xs, ys)
    return fit.slope, fit.intercept


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of all values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))]
