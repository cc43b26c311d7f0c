"""Reports of a soak, as JSON and as a readable table."""

from __future__ import annotations

import dataclasses
import enum
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from faults.delays import describe_answer_delays, encode_answer_delays
from faults.flood_generator import describe_floods
from faults.records import AnswerCode, RuleViolation, RunRecord

CONTEXT_BEFORE_S = 2.0  # a violation is reported with the faults of this many seconds before it
MAX_EVENTS_SHOWN = 16
MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS = 60_000, 3

# Matches the metric with which a process reports the most memory that it has held, in bytes.
MEMORY_METRIC = re.compile(r"^hollowhitch_memory_bytes ([0-9.e+]+)", re.MULTILINE)

KnownIssues = Mapping[int, Mapping[str, str]]  # issue numbers of known violations, by seed and rule


class Verdict(enum.Enum):
    """What a seed's run counts as in the soak's result."""

    PASSED = "passed"
    FAILED = "failed"
    KNOWN_FAILURES_ONLY = "with known failures only"


@dataclass(slots=True)
class SeedReport:
    """The report of one seed's run."""

    seed: int
    proxies: int
    requests: int
    answers: dict[str, int]  # number of requests by the code of their first answer, or "none"
    attempts: int
    injected: dict[str, int]  # number of injected faults by kind
    latency_ms: dict[str, float]  # percentiles p50, p99 and p100 of the answered requests
    orders: int  # number of orders that were answered
    stall_ms: int  # longest stall of the harness's own event loop
    breaks: list[dict[str, object]] = field(default_factory=list)  # the rule violations
    answer_delays: dict[str, str] = field(default_factory=dict)  # encoded histograms by stage, see `delays`
    dating_error_us: float = 0.0  # largest error of the dates that the kernel gave
    floods: str = ""  # what the floods wrote; empty without floods
    # By the seconds that requests allowed, of seeds with floods: requests, served, late and never answered.
    by_allowed_s: dict[str, list[int]] = field(default_factory=dict)
    peak_memory_mb: float = 0.0  # the most that one proxy held, as it reported at its end
    error: str = ""

    def verdict(self, known_issues: KnownIssues) -> Verdict:
        """Return FAILED if the run had a violation that is not known, an error, no faults or no orders."""
        known_rules = known_issues.get(self.seed, {})
        has_new_violation = any(violation["rule"] not in known_rules for violation in self.breaks)
        if has_new_violation or self.error or not self.injected or not self.orders:
            return Verdict.FAILED
        return Verdict.KNOWN_FAILURES_ONLY if self.breaks else Verdict.PASSED


def summarize(seed: int, run: RunRecord, proxies: int, violations: list[RuleViolation]) -> SeedReport:
    """Return the report of one seed; its times are seconds since the start of the first process."""
    started_at = min((process.started_at for process in run.processes), default=0.0)
    answered = [record for record in run.requests if record.answers]
    histogram = HdrHistogram(1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS)
    for record in answered:
        histogram.record_value(max(1, round((record.answers[0].received_at - record.sent_at) * 1000)))
    counts = {code.name.lower(): sum(r.answers[0].code is code for r in answered) for code in AnswerCode}
    counts["none"] = len(run.requests) - len(answered)
    return SeedReport(
        seed=seed,
        proxies=proxies,
        requests=len(run.requests),
        answers=counts,
        attempts=len(run.attempts),
        injected=dict(sorted(run.injected.items())),
        latency_ms={f"p{p}": histogram.get_value_at_percentile(p) for p in (50, 99, 100)},
        orders=sum(order.answered_at is not None for order in run.orders),
        stall_ms=round(1000 * max((delay_s for _, delay_s in run.stalls), default=0.0)),
        breaks=[_describe(violation, run, started_at) for violation in violations],
        answer_delays=encode_answer_delays(run),
        dating_error_us=round(run.dating_error_s * 1e6, 1),
        floods=describe_floods(run.floods),
        by_allowed_s=_count_by_allowed_time(run) if run.floods else {},
        peak_memory_mb=_peak_memory_mb(run),
    )


def _count_by_allowed_time(run: RunRecord) -> dict[str, list[int]]:
    """Return the numbers of requests, of those served, answered late and never answered, by allowed time."""
    counts: dict[str, list[int]] = {}
    for record in sorted(run.requests, key=lambda record: record.allowed_s):
        row = counts.setdefault(f"{record.allowed_s:g}", [0, 0, 0, 0])
        row[0] += 1
        if not record.answers:
            row[3] += record.cancelled_at is None and record.connection_ended_at is None
            continue
        row[1] += record.answers[0].code is AnswerCode.SERVED
        row[2] += record.answers[0].received_at > record.sent_at + record.allowed_s
    return counts


def _peak_memory_mb(run: RunRecord) -> float:
    found = [float(value) for process in run.processes for value in MEMORY_METRIC.findall(process.output)]
    return round(max(found, default=0.0) / 2**20, 1)


def _describe(violation: RuleViolation, run: RunRecord, started_at: float) -> dict[str, object]:
    context = [
        f"{at - started_at:.3f} {text}"
        for at, text in run.events
        if violation.occurred_at - CONTEXT_BEFORE_S <= at <= violation.occurred_at + 0.5
    ]
    context += [
        f"{at - started_at:.3f} the harness stalled for {delay_s:.3f} s"
        for at, delay_s in run.stalls
        if abs(at - violation.occurred_at) <= CONTEXT_BEFORE_S
    ]
    return {
        "rule": violation.rule,
        "at": round(violation.occurred_at - started_at, 3),
        "what": violation.text,
        "before": context[-MAX_EVENTS_SHOWN:],
    }


def as_json(reports: list[SeedReport]) -> str:
    """Return the reports as a JSON list."""
    return json.dumps([dataclasses.asdict(report) for report in reports], indent=1)


def as_table(reports: list[SeedReport], known_issues: KnownIssues) -> str:
    """Return a table with a line for each seed, followed by all rule violations and the count of verdicts."""
    lines = [
        f"{'seed':>6} {'proxies':>7} {'requests':>8} {'served':>6} {'faults':>6} {'orders':>6} "
        f"{'stall':>6} {'breaks':>6}"
    ]
    for report in reports:
        faults = sum(report.injected.values())
        lines.append(
            f"{report.seed:>6} {report.proxies:>7} {report.requests:>8} {report.answers.get('served', 0):>6} "
            f"{faults:>6} {report.orders:>6} {report.stall_ms:>6} {len(report.breaks):>6} {report.error}"
        )
    for report in reports:
        if report.floods:
            lines.append(
                f"seed {report.seed}: {report.floods}; peak memory {report.peak_memory_mb} MB; by seconds "
                f"allowed (requests, served, late, never): {report.by_allowed_s}"
            )
    lines += describe_answer_delays(report.answer_delays for report in reports)
    dating_error_us = max((report.dating_error_us for report in reports), default=0.0)
    lines.append(f"largest error of a date: {dating_error_us:g} us")
    for report in reports:
        for violation in report.breaks:
            issue = known_issues.get(report.seed, {}).get(str(violation["rule"]))
            prefix = f"known failure, issue {issue}: " if issue is not None else ""
            lines.append(
                f"seed {report.seed}: {prefix}{violation['rule']} at {violation['at']}: {violation['what']}"
            )
    verdicts = [report.verdict(known_issues) for report in reports]
    lines.append(", ".join(f"{verdicts.count(verdict)} {verdict.value}" for verdict in Verdict))
    return "\n".join(lines)
