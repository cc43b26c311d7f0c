"""Counters, histograms and gauges of one process, written in the Prometheus text format.

The Prometheus client library would take 12 MB of memory, as much as the proxy itself, so the small part of
the format that is needed is implemented here.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator, Sequence

# Upper bounds of the buckets of a histogram, in seconds.
LATENCY_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 25.0)
MAX_LABEL_VALUES = 100  # label values of one counter; any further ones are counted as "other"


class Counter:
    """Counter with one label: a count for each value of the label."""

    def __init__(self, name: str, label: str, help_text: str) -> None:
        self.name, self.label, self.help_text = name, label, help_text
        self.values: dict[str, float] = {}

    def add(self, label_value: str, amount: float = 1) -> None:
        """Add `amount` to the count of a label value."""
        if label_value not in self.values and len(self.values) >= MAX_LABEL_VALUES:
            label_value = "other"
        self.values[label_value] = self.values.get(label_value, 0) + amount

    def lines(self) -> Iterator[str]:
        """Yield the metric in the Prometheus text format, line by line."""
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} counter"
        for label_value, count in sorted(self.values.items()):
            yield f'{self.name}{{{self.label}="{label_value}"}} {count:.10g}'


class Histogram:
    """Histogram of durations in seconds."""

    def __init__(self, name: str, help_text: str, bounds: Sequence[float] = LATENCY_BOUNDS_S) -> None:
        self.name, self.help_text, self.bounds = name, help_text, bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration in its bucket, whose upper bound is inclusive."""
        self.counts[bisect_left(self.bounds, seconds)] += 1
        self.sum += seconds

    def lines(self) -> Iterator[str]:
        """Yield the metric in the Prometheus text format, line by line."""
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} histogram"
        cumulative = 0
        for bound, count in zip([*self.bounds, "+Inf"], self.counts, strict=True):
            cumulative += count
            yield f'{self.name}_bucket{{le="{bound}"}} {cumulative}'
        yield f"{self.name}_sum {self.sum:.6f}"
        yield f"{self.name}_count {cumulative}"


class Gauge:
    """Gauge without labels."""

    def __init__(self, name: str, help_text: str) -> None:
        self.name, self.help_text, self.value = name, help_text, 0.0

    def lines(self) -> Iterator[str]:
        """Yield the metric in the Prometheus text format, line by line."""
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} gauge"
        yield f"{self.name} {self.value}"


class Metrics:
    """All metrics of one process, updated by the modules in which the events occur."""

    def __init__(self) -> None:
        self.requests = Counter("hollowhitch_requests_total", "class", "Requests taken, by class.")
        self.answers = Counter("hollowhitch_answers_total", "code", "Final answers, by code.")
        self.unserved = Counter(
            "hollowhitch_unserved_total", "reason", "Requests refused or failed, by the reason."
        )
        self.attempts = Counter("hollowhitch_attempts_total", "outcome", "Attempts, by how they ended.")
        self.retries = Counter("hollowhitch_retries_total", "after", "Further attempts, by the last outcome.")
        self.client_closes = Counter(
            "hollowhitch_client_closes_total", "reason", "Client connections closed, by the reason."
        )
        self.abandoned_connections = Counter(
            "hollowhitch_abandoned_connections_total", "when", "Connections that clients closed unserved."
        )
        self.engine_closes = Counter(
            "hollowhitch_engine_closes_total", "reason", "Engine connections closed, by the reason."
        )
        self.system_call_failures = Counter(
            "hollowhitch_system_call_failures_total", "call_errno", "Failed system calls, by call and errno."
        )
        self.ejections = Counter("hollowhitch_ejections_total", "reason", "Engines ejected, by the reason.")
        self.clock_steps = Counter("hollowhitch_clock_steps_total", "way", "Steps of the wall clock, by way.")
        self.console_requests = Counter(
            "hollowhitch_orders_total", "path_status", "Calls to the console, by answer."
        )
        self.violations = Counter(
            "hollowhitch_violations_total", "rule", "Rules found broken by the process itself."
        )
        self.latency = Histogram("hollowhitch_latency_seconds", "From taking a request to its answer.")
        # Time of a request in each state that it passes through.
        self.unread_time = Histogram("hollowhitch_unread_seconds", "From a request's arrival to its read.")
        self.queued_time = Histogram("hollowhitch_queued_seconds", "From a request's read to its start.")
        self.held_time = Histogram("hollowhitch_held_seconds", "From a query's start to its first attempt.")
        self.attempt_time = Histogram("hollowhitch_attempt_seconds", "From an attempt's start to its end.")
        self.answer_queued_time = Histogram(
            "hollowhitch_answer_queued_seconds", "From an answer to when the kernel has taken it."
        )
        self.late_inputs = Counter(
            "hollowhitch_late_inputs_total", "state", "Times a client's input was late to be read."
        )
        self.share_seconds = Counter(
            "hollowhitch_share_seconds_total", "share", "Time spent on client input, by share."
        )
        self.passes = Counter("hollowhitch_passes_total", "share", "Passes over client input.")
        self.cpu_seconds = Gauge("hollowhitch_cpu_seconds", "Processor time used.")
        self.memory_bytes = Gauge("hollowhitch_memory_bytes", "The most memory held so far.")
        self.loop_stalls = Histogram("hollowhitch_standstill_seconds", "Times the event loop stood still.")

    def add_pass(self, read_s: float, start_s: float) -> None:
        """Count a pass over client input, and the seconds that it spent on each share."""
        self.passes.add("input")
        self.share_seconds.add("read", read_s)
        self.share_seconds.add("start", start_s)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        metric_types = Counter | Histogram | Gauge
        families = (family for family in vars(self).values() if isinstance(family, metric_types))
        return "\n".join(line for family in families for line in family.lines()) + "\n"
