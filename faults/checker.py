"""Checks which rules a fault run violated.

The checker reads only the records of clients, engines and operators, never a proxy's internal state. All
times are seconds on the monotonic clock.
"""

from __future__ import annotations

import math
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from faults.order_checker import OrderChecker
from faults.records import (
    MAX_DELIVERY_DELAY_S,
    AnswerCode,
    AttemptEnd,
    AttemptRecord,
    EngineAnnouncement,
    ProcessRecord,
    RequestRecord,
    RuleViolation,
    RunRecord,
)
from faults.settings import GRACE_AFTER_DEADLINE_S, shutdown_grace_s

# Seconds added to every time limit that is measured at a socket.
SOCKET_SLACK_S = 0.05
# Seconds after a client's cancellation within which an attempt may still reach an engine.
CANCEL_SLACK_S = 0.1
# Seconds by which the time that an engine is given may exceed the time that the client has left.
WAIT_SLACK_S = 0.15
# A request sent less than this many seconds before its client saw the proxy close the connection, or later,
# may have crossed the close. If it reached no engine, no answer is due: the client has to send it again.
CLOSE_RACE_S = 0.05
# Matches the metric with which a process counts the rule violations that it found in itself.
VIOLATION_METRIC = re.compile(r"^hollowhitch_violations_total{", re.MULTILINE)
# A slow-start budget below this many requests is widened by 3 square roots of itself instead of 2.
SMALL_BUDGET_REQUESTS = 30


class Checker:
    """Checks the records of one run against the settings of its proxies.

    `engine_cores` and `mean_work_s`, the mean run time of a query on one core, determine how many requests an
    engine in slow start may get.
    """

    def __init__(
        self, run: RunRecord, settings: dict[str, Any], engine_cores: float = 8.0, mean_work_s: float = 0.02
    ) -> None:
        self.run, self.settings = run, settings
        self.engine_cores, self.mean_work_s = engine_cores, mean_work_s
        self.max_date_difference_s = 2 * run.dating_error_s  # error of the time between two dated events
        self.classes = {query_class["name"]: query_class for query_class in settings["classes"]}
        self.requests = {record.ref: record for record in run.requests}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in sorted(run.attempts, key=lambda a: a.arrived_at):
            self.attempts[attempt.ref].append(attempt)
        self.violations: list[RuleViolation] = []

    def check(self) -> list[RuleViolation]:
        """Return all rule violations, sorted by time."""
        for record in self.run.requests:
            self._check_answers(record)
            self._check_cancel(record)
        for ref, attempts in self.attempts.items():
            if ref in self.requests:
                self._check_repeats(self.requests[ref], attempts)
                self._check_engine_wait(self.requests[ref], attempts)
        self._check_drain()
        self._check_key_order()
        self._check_slow_start()
        self._check_process_exits()
        self.violations += OrderChecker(self.run).check()
        return sorted(self.violations, key=lambda violation: violation.occurred_at)

    def _add_violation(self, rule: str, at: float, text: str) -> None:
        self.violations.append(RuleViolation(rule, at, text))

    # Answers: each request gets one final answer within its deadline.

    def _check_answers(self, record: RequestRecord) -> None:
        due_at = record.sent_at + record.allowed_s + self._rule_seconds("answerSlackUs") + SOCKET_SLACK_S
        if len(record.answers) > 1:
            text = f"{record.ref} got {len(record.answers)} answers"
            self._add_violation("second answer", record.answers[1].received_at, text)
        if record.answers:
            answer = record.answers[0]
            if answer.earliest_at > due_at:
                self._add_violation(
                    "lost",
                    answer.received_at,
                    f"{record.ref} was answered {answer.earliest_at - due_at:.3f} s too late",
                )
            self._check_refusal(record, answer.code, answer.received_at)
            if answer.code is AnswerCode.SERVED and not self._was_served(record.ref):
                self._add_violation(
                    "lost", answer.received_at, f"{record.ref} was served, but no engine served it"
                )
            return
        if record.cancelled_at is not None and record.cancelled_at < due_at:
            return
        if self._may_go_unanswered(record):
            return
        self._add_violation("lost", due_at, f"{record.ref} at {record.proxy} got no answer")

    def _may_go_unanswered(self, record: RequestRecord) -> bool:
        """Return whether the client may get no answer to this request.

        The request may have crossed the close of its connection without reaching an engine, or its proxy was
        killed. A kill after SIGTERM excuses only requests sent within GRACE_AFTER_DEADLINE_S after SIGTERM.
        """
        ended_at = record.connection_ended_earliest_at or record.connection_ended_at
        if (
            ended_at is not None
            and record.sent_at > ended_at - CLOSE_RACE_S
            and not self._reached_engine(record.ref)
        ):
            return True
        process = self._process_of(record)
        if process is None or process.killed_at is None:
            return False
        if process.terminated_at is None:
            return True
        return record.sent_at < process.terminated_at + GRACE_AFTER_DEADLINE_S

    def _check_refusal(self, record: RequestRecord, code: AnswerCode, refused_at: float) -> None:
        """Check that a refused request never ran, unless its class makes a repeat harmless."""
        query_class = self.classes[record.class_name]
        if code is not AnswerCode.REFUSED or query_class["semantics"] == "retryable":
            return
        if query_class["semantics"] == "dedup" and query_class.get("keyScope", "all") == "all":
            return
        if any(not self._never_ran(attempt) for attempt in self.attempts.get(record.ref, ())):
            self._add_violation("duplicate", refused_at, f"{record.ref} was refused though it may have run")

    def _check_cancel(self, record: RequestRecord) -> None:
        if record.cancelled_at is None:
            return
        for attempt in self._read_promptly(self.attempts.get(record.ref, ())):
            late_s = _earliest_arrival(attempt) - record.cancelled_at - CANCEL_SLACK_S
            if late_s > self.max_date_difference_s:
                text = f"{record.ref} reached an engine {late_s:.3f} s too late after its client cancelled it"
                self._add_violation("lost", attempt.first_byte_at, text)

    # Repeats: a query that must not run twice is not sent twice.

    def _check_repeats(self, record: RequestRecord, attempts: list[AttemptRecord]) -> None:
        query_class = self.classes[record.class_name]
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            if earlier.end_read_late or later.read_late:
                continue
            if later.arrived_at < _earliest_end(earlier) - self.max_date_difference_s:
                self._add_violation("duplicate", later.arrived_at, f"{record.ref} had two attempts in flight")
        first_run = next((a for a in attempts if not self._never_ran(a)), None)
        if first_run is None or query_class["semantics"] == "retryable":
            return
        # A query that is neither retryable nor dedup may not be sent again at all: the window is always over.
        window_s = (
            query_class.get("repeatWindowUs", 0) / 1e6 if query_class["semantics"] == "dedup" else -math.inf
        )
        for attempt in self._read_promptly(attempts[attempts.index(first_run) + 1 :]):
            age_s = _earliest_arrival(attempt) - first_run.first_byte_at
            if age_s > window_s + SOCKET_SLACK_S:
                text = (
                    f"{record.ref} ({record.class_name}) was sent again {age_s:.3f} s after it may have run"
                )
                self._add_violation("duplicate", attempt.first_byte_at, text)

    def _check_engine_wait(self, record: RequestRecord, attempts: list[AttemptRecord]) -> None:
        for attempt in self._read_promptly(attempts):
            left_s = record.sent_at + record.allowed_s - _earliest_arrival(attempt)
            if attempt.wait_s > left_s + WAIT_SLACK_S:
                text = f"{record.ref} was given {attempt.wait_s:.3f} s, but only {left_s:.3f} s were left"
                self._add_violation("deadline", attempt.first_byte_at, text)

    # Engines that drain or are in slow start.

    def _check_drain(self) -> None:
        binding_times = {
            announcement.engine: self._binding_at(announcement)
            for announcement in reversed(self.run.announcements)
            if announcement.phase in ("leaving", "left")
        }
        grace_s = self._rule_seconds("drainGraceUs") + SOCKET_SLACK_S
        for attempt in self._read_promptly(self.run.attempts):
            binding_at = binding_times.get(attempt.engine)
            if binding_at is not None and _earliest_arrival(attempt) > binding_at + grace_s:
                elapsed_s = _earliest_arrival(attempt) - binding_at
                text = f"{attempt.ref} went to {attempt.engine} {elapsed_s:.3f} s after its drain took effect"
                self._add_violation("drain", attempt.first_byte_at, text)

    def _binding_at(self, announcement: EngineAnnouncement) -> float:
        """Return when an announcement binds the proxies: at once, or 7 s later near a channel outage."""
        at = announcement.announced_at
        return at + MAX_DELIVERY_DELAY_S if self.run.is_near_channel_outage(at) else at

    def _check_slow_start(self) -> None:
        slow_start_s, window_s = self._rule_seconds("coldUs"), self._rule_seconds("tipAfterUs")
        for announcement in self.run.announcements:
            if announcement.slow_start_began_at is None or announcement.phase != "active":
                continue
            arrivals = sorted(
                a.arrived_at
                for a in self.run.attempts
                if a.engine == announcement.engine
                and 0 <= a.arrived_at - announcement.slow_start_began_at < slow_start_s
            )
            for position, arrived_at in enumerate(arrivals):
                count = sum(arrived_at - window_s < other <= arrived_at for other in arrivals[: position + 1])
                budget = self._slow_start_budget(
                    max(arrived_at - window_s - announcement.slow_start_began_at, 0.0)
                )
                if count > budget:
                    text = (
                        f"{announcement.engine} got {count} requests in {window_s} s, more than {budget:.1f}"
                    )
                    self._add_violation("failback", arrived_at, text)
                    break

    def _slow_start_budget(self, age_s: float) -> float:
        """Return how many requests of mean work an engine of this age may get in one window."""
        rules = self.settings["rules"]
        share = rules["startCapacity"] + (1 - rules["startCapacity"]) * age_s / self._rule_seconds("coldUs")
        requests = (
            rules["tipMultiple"]
            * share
            * self.engine_cores
            * self._rule_seconds("tipAfterUs")
            / self.mean_work_s
        )
        root_count = 3 if requests < SMALL_BUDGET_REQUESTS else 2
        return requests + root_count * (math.sqrt(requests) + 1)

    # Requests with the same key run one after another.

    def _check_key_order(self) -> None:
        """Check that no request is sent while an earlier one with its key is unanswered or in flight."""
        requests_by_key: dict[tuple[str, str, int], list[RequestRecord]] = defaultdict(list)
        for record in self.run.requests:
            process = self._process_of(record)
            if record.key and process is not None and self.classes[record.class_name].get("sequential"):
                requests_by_key[record.proxy, record.key, id(process)].append(record)
        for records in requests_by_key.values():
            records.sort(key=lambda r: r.sent_at)
            for position, later in enumerate(records):
                arrivals = [a.arrived_at for a in self._read_promptly(self.attempts.get(later.ref, ()))]
                for earlier in records[:position] if arrivals else ():
                    self._check_key_pair(earlier, later, arrivals[0])

    def _check_key_pair(self, earlier: RequestRecord, later: RequestRecord, later_began_at: float) -> None:
        attempts = self.attempts.get(earlier.ref, ())
        attempts = [a for a in attempts if not (a.read_late or a.end_read_late)]
        certainly_began_at = later_began_at + self.max_date_difference_s
        last_attempt_end = max((_earliest_end(attempt) for attempt in attempts), default=0.0)
        began_out_of_order = any(_earliest_arrival(a) > certainly_began_at for a in attempts)
        if certainly_began_at < last_attempt_end or began_out_of_order:
            self._add_violation(
                "order",
                later_began_at,
                f"{later.ref} was sent while {earlier.ref} with its key was in flight",
            )
        elif certainly_began_at < (over_at := _earliest_request_end(earlier)):
            early_s = over_at - later_began_at
            text = f"{later.ref} was sent {early_s:.4f} s before {earlier.ref} with its key was answered"
            self._add_violation("order", later_began_at, text)

    # Process exits.

    def _check_process_exits(self) -> None:
        grace_s = shutdown_grace_s(self.settings)
        for process in self.run.processes:
            if process.terminated_at is not None:
                ended_at = process.ended_at if process.ended_at is not None else math.inf
                if process.killed_at is not None or ended_at > process.terminated_at + grace_s:
                    text = f"{process.proxy} was still running {grace_s:.1f} s after SIGTERM"
                    self._add_violation("end", process.terminated_at + grace_s, text)
                elif process.exit_code != 0 and process.ready_at is not None:
                    self._add_violation(
                        "crash", ended_at, f"{process.proxy} exited with code {process.exit_code}"
                    )
            elif process.killed_at is None and process.ended_at is not None:
                self._add_violation(
                    "crash", process.ended_at, f"{process.proxy} exited with code {process.exit_code}"
                )
            if "topic=violation" in process.output or VIOLATION_METRIC.search(process.output):
                self._add_violation(
                    "violation",
                    process.ended_at or process.started_at,
                    f"{process.proxy} detected a rule violation itself",
                )
            if "Traceback" in process.output:
                self._add_violation(
                    "crash", process.ended_at or process.started_at, f"{process.proxy} printed a traceback"
                )

    # Helpers.

    def _rule_seconds(self, name: str) -> float:
        return self.settings["rules"].get(name, 0) / 1e6

    def _read_promptly(self, attempts: Iterable[AttemptRecord]) -> Iterator[AttemptRecord]:
        """Return the attempts whose arrival time is known."""
        return (attempt for attempt in attempts if not attempt.read_late)

    def _never_ran(self, attempt: AttemptRecord) -> bool:
        return attempt.end is not None and attempt.end.never_ran

    def _reached_engine(self, ref: str) -> bool:
        return bool(self.attempts.get(ref))

    def _was_served(self, ref: str) -> bool:
        return any(a.end is AttemptEnd.SERVED for a in self.attempts.get(ref, ()))

    def _process_of(self, record: RequestRecord) -> ProcessRecord | None:
        return self.run.process_at(record.proxy, record.sent_at)


def _earliest_arrival(attempt: AttemptRecord) -> float:
    """Return the earliest time at which an attempt can have reached its engine."""
    return attempt.first_byte_at if attempt.earliest_at is None else attempt.earliest_at


def _earliest_end(attempt: AttemptRecord) -> float:
    """Return the earliest time at which an attempt can have ended; infinity if it has not."""
    if attempt.ended_at is None:
        return math.inf
    return attempt.ended_at if attempt.ended_earliest_at is None else attempt.ended_earliest_at


def _earliest_request_end(record: RequestRecord) -> float:
    """Return the earliest time at which a request can have been over; infinity if it never was.

    Answers tell nothing if the client does not read them at once: they may wait in its socket.
    """
    end_times = [answer.earliest_at for answer in record.answers[:1]]
    end_times += [
        at
        for at in (record.cancel_began_at or record.cancelled_at, record.connection_ended_earliest_at)
        if at
    ]
    if record.connection_ended_earliest_at is None and record.connection_ended_at is not None:
        end_times.append(record.connection_ended_at)
    return min(end_times, default=math.inf) if record.is_read else 0.0
