"""Latency summaries, counters and gauges in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from rattanwing.application import Application

LOWEST_US = 10
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


class LatencySeries:
    """Latencies of one service and request class.

    :param histogram: latencies in microseconds.
    :param sum_s: sum of the latencies in seconds.
    :param count: number of latencies.
    """

    __slots__ = ("histogram", "sum_s", "count")

    def __init__(self) -> None:
        self.histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self.sum_s = 0.0
        self.count = 0

    def add(self, seconds: float) -> None:
        """Record one latency."""
        microseconds = min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
        self.histogram.record_value(microseconds)
        self.sum_s += seconds
        self.count += 1

    def quantile_s(self, quantile: float) -> float:
        """Return the latency in seconds at a quantile between 0 and 1."""
        return self.histogram.get_value_at_percentile(quantile * 100) / 1e6


class Metrics:
    """The metrics of one process.

    :param latencies: by service and request class.
    :param counters: by name and the value of the label ``kind``.
    :param gauges: by name.
    """

    __slots__ = ("latencies", "counters", "gauges")

    def __init__(self) -> None:
        self.latencies: dict[tuple[str, str], LatencySeries] = {}
        self.counters: dict[tuple[str, str], int] = {}
        self.gauges: dict[str, float] = {}

    def add_latency(self, service: str, request_class: str, seconds: float) -> None:
        """Record the latency of one request."""
        key = (service, request_class)
        if key not in self.latencies:
            self.latencies[key] = LatencySeries()
        self.latencies[key].add(seconds)

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add ``amount`` to the counter with this name and label value."""
        key = (name, label)
        self.counters[key] = self.counters.get(key, 0) + amount

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = ["# TYPE rattanwing_request_seconds summary"]
        for (service, request_class), series in sorted(self.latencies.items()):
            labels = f'service="{service}",class="{request_class}"'
            lines += render_series("rattanwing_request_seconds", labels, series)
        for (name, label), value in sorted(self.counters.items()):
            lines.append(f'rattanwing_{name}_total{{kind="{label}"}} {value}')
        for name, value in sorted(self.gauges.items()):
            lines.append(f"rattanwing_{name} {value}")
        return "\n".join(lines) + "\n"

    def summary(self) -> list[dict[str, object]]:
        """Return the latencies for ``rattanwing status``."""
        return [
            {
                "service": service,
                "class": request_class,
                "count": series.count,
                "p50_ms": series.quantile_s(0.5) * 1000,
                "p99_ms": series.quantile_s(0.99) * 1000,
            }
            for (service, request_class), series in sorted(self.latencies.items())
        ]


def render_series(name: str, labels: str, series: LatencySeries) -> list[str]:
    """Return the Prometheus lines of one latency summary."""
    lines = [
        f'{name}{{{labels},quantile="{q}"}} {series.quantile_s(q):.6f}'
        for q in QUANTILES
    ]
    lines.append(f"{name}_sum{{{labels}}} {series.sum_s:.6f}")
    lines.append(f"{name}_count{{{labels}}} {series.count}")
    return lines


def setup(app: Application) -> None:
    """Register the service ``metrics``."""
    app.add_service("metrics", Metrics())
