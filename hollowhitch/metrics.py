"""Counters and histograms of one process, written in the Prometheus text format.

A client library for that format would take 12 MB, as much as the proxy itself, so the few lines of the format
that are needed stand here.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence

LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0)
LABEL_VALUES_MOST = 100  # of one family; what is more is counted together


class Counter:
    """Counts by the value of one label."""

    def __init__(self, name: str, label: str, help_text: str) -> None:
        self.name, self.label, self.help_text = name, label, help_text
        self.values: dict[str, int] = {}

    def add(self, value: str, amount: int = 1) -> None:
        """Count `amount` more under this value of the label."""
        if value not in self.values and len(self.values) >= LABEL_VALUES_MOST:
            value = "other"
        self.values[value] = self.values.get(value, 0) + amount

    def lines(self) -> Iterator[str]:
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} counter"
        for value, count in sorted(self.values.items()):
            yield f'{self.name}{{{self.label}="{value}"}} {count}'


class Histogram:
    """Seconds, counted in buckets."""

    def __init__(self, name: str, help_text: str, bounds: Sequence[float] = LATENCY_BOUNDS_S) -> None:
        self.name, self.help_text, self.bounds = name, help_text, bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(self.bounds, seconds)] += 1
        self.sum += seconds

    def lines(self) -> Iterator[str]:
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} histogram"
        below = 0
        for bound, count in zip([*self.bounds, "+Inf"], self.counts, strict=True):
            below += count
            yield f'{self.name}_bucket{{le="{bound}"}} {below}'
        yield f"{self.name}_sum {self.sum:.6f}"
        yield f"{self.name}_count {below}"


class Gauge:
    """One value."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name, self.help_text, self.value = name, help_text, 0.0

    def lines(self) -> Iterator[str]:
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} gauge"
        yield f"{self.name} {self.value}"


class Metrics:
    """All metrics of one process. Each is counted where the event happens."""

    def __init__(self) -> None:
        self.requests = Counter("hollowhitch_requests_total", "class", "Requests taken, by class.")
        self.answers = Counter("hollowhitch_answers_total", "code", "Final answers, by code.")
        self.endings = Counter(
            "hollowhitch_unserved_total", "reason", "Requests refused or failed, by the reason."
        )
        self.attempts = Counter("hollowhitch_attempts_total", "outcome", "Attempts, by how they ended.")
        self.retries = Counter("hollowhitch_retries_total", "after", "Further attempts, by the last outcome.")
        self.client_closes = Counter(
            "hollowhitch_client_closes_total", "reason", "Client connections closed, by the reason."
        )
        self.engine_closes = Counter(
            "hollowhitch_engine_closes_total", "reason", "Engine connections closed, by the reason."
        )
        self.system_calls = Counter(
            "hollowhitch_system_call_failures_total", "call_errno", "Failed system calls, by call and errno."
        )
        self.ejections = Counter("hollowhitch_ejections_total", "reason", "Engines ejected, by the reason.")
        self.clock_steps = Counter("hollowhitch_clock_steps_total", "way", "Steps of the wall clock, by way.")
        self.orders = Counter("hollowhitch_orders_total", "path_status", "Calls to the console, by answer.")
        self.violations = Counter(
            "hollowhitch_violations_total", "rule", "Rules found broken by the process itself."
        )
        self.latency = Histogram("hollowhitch_latency_seconds", "From taking a request to its answer.")
        self.cpu_seconds = Gauge("hollowhitch_cpu_seconds", "Processor time used.")
        self.memory_bytes = Gauge("hollowhitch_memory_bytes", "The most memory held so far.")
        self.standstills = Histogram("hollowhitch_standstill_seconds", "Times the event loop stood still.")

    def text(self) -> str:
        """Everything, in the Prometheus text format."""
        kinds = Counter | Histogram | Gauge
        families = (family for family in vars(self).values() if isinstance(family, kinds))
        return "\n".join(line for family in families for line in family.lines()) + "\n"
