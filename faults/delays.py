"""Time from an engine's last bytes of an answer to its client's receipt, by the stage of the proxy."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Iterator

from hdrh.histogram import HdrHistogram

from faults.records import AnswerCode, AttemptEnd, AttemptRecord, OrderRecord, RunRecord

MAX_DELAY_US, SIGNIFICANT_DIGITS = 60_000_000, 3
PERCENTILES = (50, 99)


class Stage(enum.Enum):
    """What the proxy was doing when the engine answered."""

    SERVING = "serving"
    DRAINING = "draining"
    STOPPING = "stopping"


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of delays in microseconds."""
    return HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)


def encode_answer_delays(run: RunRecord) -> dict[str, str]:
    """Return the encoded histogram of each stage that had answers.

    Clients that do not read at once are left out, since they date their answers late.
    """
    histograms: dict[Stage, HdrHistogram] = defaultdict(new_histogram)
    for stage, delay_s in _answer_delays(run):
        histograms[stage].record_value(max(1, round(delay_s * 1e6)))
    return {stage.value: histogram.encode().decode() for stage, histogram in histograms.items()}


def describe_answer_delays(encoded: Iterable[dict[str, str]]) -> list[str]:
    """Return a line for each stage, from the encoded histograms of several runs."""
    merged: dict[str, HdrHistogram] = defaultdict(new_histogram)
    for histograms in encoded:
        for stage, text in histograms.items():
            merged[stage].decode_and_add(text.encode())
    lines = []
    for stage in (s.value for s in Stage if s.value in merged):
        histogram = merged[stage]
        figures = ", ".join(f"{p}% {histogram.get_value_at_percentile(p) / 1000:.2f} ms" for p in PERCENTILES)
        lines.append(
            f"from engine to client, {stage}: {histogram.get_total_count()} answers, {figures}, "
            f"longest {histogram.get_max_value() / 1000:.1f} ms"
        )
    return lines


def _answer_delays(run: RunRecord) -> Iterator[tuple[Stage, float]]:
    served_attempts: dict[str, AttemptRecord] = {
        attempt.ref: attempt for attempt in run.attempts if attempt.end is AttemptEnd.SERVED
    }
    orders = sorted((o for o in run.orders if o.accepted), key=lambda order: order.sent_at)
    for record in run.requests:
        attempt = served_attempts.get(record.ref)
        answer = record.answers[0] if record.answers else None
        if answer is None or answer.code is not AnswerCode.SERVED or not record.is_read:
            continue
        if attempt is None or attempt.end_written_at is None:
            continue
        stage = _stage_at(run, orders, record.proxy, attempt.end_written_at)
        yield stage, max(0.0, answer.received_at - attempt.end_written_at)


def _stage_at(run: RunRecord, orders: list[OrderRecord], proxy: str, at: float) -> Stage:
    process = run.process_at(proxy, at)
    if process is None:
        return Stage.SERVING
    if process.terminated_at is not None and process.terminated_at <= at:
        return Stage.STOPPING
    last_path = ""
    for order in orders:
        if order.proxy == proxy and process.started_at <= order.sent_at <= at:
            last_path = order.path if order.path in ("/drain", "/undrain") else last_path
    return Stage.DRAINING if last_path == "/drain" else Stage.SERVING
