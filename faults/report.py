"""What a soak found: a JSON report and a readable table."""

from __future__ import annotations

import dataclasses
import json
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from faults.records import Break, Code, Run

CONTEXT_S = 2.0  # of the driver's events before a break
EVENTS_SHOWN = 16
LATENCY_MOST_MS, LATENCY_DIGITS = 60_000, 3


@dataclass(slots=True)
class SeedReport:
    """One seed's run."""

    seed: int
    proxies: int
    requests: int
    answers: dict[str, int]
    attempts: int
    injected: dict[str, int]
    latency_ms: dict[str, float]
    orders: int  # calls to consoles that were answered
    stall_ms: int  # the longest standstill of the stand-ins themselves
    breaks: list[dict[str, object]] = field(default_factory=list)
    error: str = ""

    @property
    def failed(self) -> bool:
        """Broken rules, an error of the run itself, or a run that disturbed or ordered nothing."""
        return bool(self.breaks or self.error or not self.injected or not self.orders)


def summarize(seed: int, run: Run, proxies: int, breaks: list[Break]) -> SeedReport:
    """The report of one seed; times in it count from the run's first process."""
    began = min((life.started_at for life in run.lives), default=0.0)
    answered = [record for record in run.requests if record.answers]
    histogram = HdrHistogram(1, LATENCY_MOST_MS, LATENCY_DIGITS)
    for record in answered:
        histogram.record_value(max(1, round((record.answers[0].at - record.sent_at) * 1000)))
    counts = {code.name.lower(): sum(r.answers[0].code is code for r in answered) for code in Code}
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
        stall_ms=round(1000 * max((late_s for _, late_s in run.stalls), default=0.0)),
        breaks=[_describe(found, run, began) for found in breaks],
    )


def _describe(found: Break, run: Run, began: float) -> dict[str, object]:
    near = [
        f"{at - began:.3f} {text}" for at, text in run.events if found.at - CONTEXT_S <= at <= found.at + 0.5
    ]
    near += [
        f"{at - began:.3f} the stand-ins stood still for {late_s:.3f} s"
        for at, late_s in run.stalls
        if abs(at - found.at) <= CONTEXT_S
    ]
    return {
        "rule": found.rule,
        "at": round(found.at - began, 3),
        "what": found.text,
        "before": near[-EVENTS_SHOWN:],
    }


def as_json(reports: list[SeedReport]) -> str:
    return json.dumps([dataclasses.asdict(report) for report in reports], indent=1)


def as_table(reports: list[SeedReport]) -> str:
    """A line a seed, then each break."""
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
        for found in report.breaks:
            lines.append(f"seed {report.seed}: {found['rule']} at {found['at']}: {found['what']}")
    failed = sum(report.failed for report in reports)
    lines.append(f"{len(reports) - failed} passed, {failed} failed")
    return "\n".join(lines)
