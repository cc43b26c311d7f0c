"""The checker: which rules did a run break? It reads records alone and knows nothing of a proxy's state.

Every time is a span on the monotonic clock, in seconds.
"""

from __future__ import annotations

import math
import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import Any

from faults.order_checker import OrderChecker
from faults.records import (
    TOLD_LATE_S,
    AttemptEnd,
    AttemptRecord,
    Break,
    Code,
    ProxyLife,
    RequestRecord,
    Run,
    ServerState,
)
from faults.settings import AFTER_LONGEST_S, grace_s

SOCKETS_SLACK_S = 0.05  # each time limit on sockets is longer by this
CANCEL_SLACK_S = 0.1
WAIT_SLACK_S = 0.15
CROSSING_S = 0.05  # a request that crosses a close by no more than this is the client's to send again
READ_ORDER_S = 0.02  # two sockets' events may be read in the wrong order by this much
VIOLATIONS = re.compile(r"^hollowhitch_violations_total{", re.MULTILINE)  # of a process, by its own count
SMALL_BUDGET = 30  # calls below which the slow-start slack is 3 roots instead of 2


class Checker:
    """Checks one run against the settings it was played with."""

    def __init__(
        self, run: Run, settings: dict[str, Any], server_cores: float = 8.0, work_s: float = 0.02
    ) -> None:
        self.run, self.settings = run, settings
        self.server_cores, self.work_s = server_cores, work_s
        self.classes = {row["name"]: row for row in settings["classes"]}
        self.requests = {record.ref: record for record in run.requests}
        self.attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in sorted(run.attempts, key=lambda a: a.arrived_at):
            self.attempts[attempt.ref].append(attempt)
        self.breaks: list[Break] = []

    def check(self) -> list[Break]:
        """All breaks, in order of time."""
        for record in self.run.requests:
            self._check_answers(record)
            self._check_cancel(record)
        for ref, attempts in self.attempts.items():
            if ref in self.requests:
                self._check_repeats(self.requests[ref], attempts)
                self._check_wait(self.requests[ref], attempts)
        self._check_drain()
        self._check_key_order()
        self._check_slow_start()
        self._check_ends()
        self.breaks += OrderChecker(self.run).check()
        return sorted(self.breaks, key=lambda b: b.at)

    def _break(self, rule: str, at: float, text: str) -> None:
        self.breaks.append(Break(rule, at, text))

    # One final answer, in time

    def _check_answers(self, record: RequestRecord) -> None:
        late_at = record.sent_at + record.allow_s + self._rule_s("answerSlackUs") + SOCKETS_SLACK_S
        if len(record.answers) > 1:
            text = f"{record.ref} got {len(record.answers)} answers"
            self._break("second answer", record.answers[1].at, text)
        if record.answers:
            answer = record.answers[0]
            if answer.at > late_at:
                self._break("lost", answer.at, f"{record.ref} answered {answer.at - late_at:.3f} s too late")
            self._check_refusal(record, answer.code, answer.at)
            if answer.code is Code.SERVED and not self._ran(record.ref):
                self._break("lost", answer.at, f"{record.ref} was served what no server made")
            return
        if record.cancelled_at is not None and record.cancelled_at < late_at:
            return
        if self._excused(record):
            return
        self._break("lost", late_at, f"{record.ref} of {record.proxy} got no answer")

    def _excused(self, record: RequestRecord) -> bool:
        """Did its proxy die without owing it an answer, or did it cross a close?"""
        ended_at = record.connection_ended_at
        if ended_at is not None and record.sent_at > ended_at - CROSSING_S and not self._arrived(record.ref):
            return True
        life = self._life(record)
        if life is None or life.killed_at is None:
            return False
        if life.terminated_at is None:
            return True
        return record.sent_at < life.terminated_at + AFTER_LONGEST_S

    def _check_refusal(self, record: RequestRecord, code: Code, at: float) -> None:
        """A refusal says that nothing ran, or that a repeat does no harm."""
        row = self.classes[record.class_name]
        if code is not Code.REFUSED or row["semantics"] == "retryable":
            return
        if row["semantics"] == "dedup" and row.get("keyScope", "all") == "all":
            return
        if any(not self._never_ran(attempt) for attempt in self.attempts.get(record.ref, ())):
            self._break("duplicate", at, f"{record.ref} was refused though it may have run")

    def _check_cancel(self, record: RequestRecord) -> None:
        if record.cancelled_at is None:
            return
        for attempt in self._read_at_once(self.attempts.get(record.ref, ())):
            late = attempt.first_byte_at - record.cancelled_at - CANCEL_SLACK_S
            if late > READ_ORDER_S:
                text = f"{record.ref} began {late:.3f} s too late after its client had gone"
                self._break("lost", attempt.first_byte_at, text)

    # No effect twice

    def _check_repeats(self, record: RequestRecord, attempts: list[AttemptRecord]) -> None:
        row = self.classes[record.class_name]
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            if earlier.end_read_late or later.read_late:
                continue
            if earlier.ended_at is None or later.arrived_at < earlier.ended_at - READ_ORDER_S:
                self._break("duplicate", later.arrived_at, f"{record.ref} had two attempts out")
        ran = next((a for a in attempts if not self._never_ran(a)), None)
        if ran is None or row["semantics"] == "retryable":
            return
        window = row.get("repeatWindowUs", 0) / 1e6 if row["semantics"] == "dedup" else -math.inf
        for attempt in self._read_at_once(attempts[attempts.index(ran) + 1 :]):
            age = attempt.first_byte_at - ran.first_byte_at
            if age > window + SOCKETS_SLACK_S:
                text = f"{record.ref} ({record.class_name}) was sent again {age:.3f} s after it may have run"
                self._break("duplicate", attempt.first_byte_at, text)

    def _check_wait(self, record: RequestRecord, attempts: list[AttemptRecord]) -> None:
        for attempt in self._read_at_once(attempts):
            left = record.sent_at + record.allow_s - attempt.first_byte_at
            if attempt.wait_s > left + WAIT_SLACK_S:
                text = f"{record.ref} was given {attempt.wait_s:.3f} s where {left:.3f} s were left"
                self._break("deadline", attempt.first_byte_at, text)

    # Servers that drain or start

    def _check_drain(self) -> None:
        leaving = {
            state.server: self._told_at(state)
            for state in reversed(self.run.states)
            if state.phase in ("leaving", "left")
        }
        grace = self._rule_s("drainGraceUs") + SOCKETS_SLACK_S
        for attempt in self._read_at_once(self.run.attempts):
            told_at = leaving.get(attempt.server)
            if told_at is not None and attempt.first_byte_at > told_at + grace:
                after = attempt.first_byte_at - told_at
                text = f"{attempt.ref} went to {attempt.server}, {after:.3f} s after it was to drain"
                self._break("drain", attempt.first_byte_at, text)

    def _told_at(self, state: ServerState) -> float:
        """An event counts as told at once, or within 7 s where calls to the channel were in trouble."""
        at = state.told_at
        return at + TOLD_LATE_S if self.run.is_troubled(at) else at

    def _check_slow_start(self) -> None:
        cold_s, window = self._rule_s("coldUs"), self._rule_s("tipAfterUs")
        for state in self.run.states:
            if state.started_at is None or state.phase != "active":
                continue
            arrivals = sorted(
                a.arrived_at
                for a in self.run.attempts
                if a.server == state.server and 0 <= a.arrived_at - state.started_at < cold_s
            )
            for last, at in enumerate(arrivals):
                count = sum(at - window < other <= at for other in arrivals[: last + 1])
                budget = self._slow_start_budget(max(at - window - state.started_at, 0.0))
                if count > budget:
                    text = f"{state.server} got {count} requests in {window} s, {budget:.1f} were allowed"
                    self._break("failback", at, text)
                    break

    def _slow_start_budget(self, age: float) -> float:
        """Requests of mean work that a server may get in one window at an age."""
        rules = self.settings["rules"]
        share = rules["startCapacity"] + (1 - rules["startCapacity"]) * age / self._rule_s("coldUs")
        calls = rules["tipMultiple"] * share * self.server_cores * self._rule_s("tipAfterUs") / self.work_s
        roots = 3 if calls < SMALL_BUDGET else 2
        return calls + roots * (math.sqrt(calls) + 1)

    # Order by key

    def _check_key_order(self) -> None:
        """While an earlier request of its key is open or out, none is sent."""
        lines: dict[tuple[str, str, int], list[RequestRecord]] = defaultdict(list)
        for record in self.run.requests:
            life = self._life(record)
            if record.key and life is not None and self.classes[record.class_name].get("sequential"):
                lines[record.proxy, record.key, id(life)].append(record)
        for records in lines.values():
            records.sort(key=lambda r: r.sent_at)
            for place, later in enumerate(records):
                begun = [a.arrived_at for a in self._read_at_once(self.attempts.get(later.ref, ()))]
                for earlier in records[:place] if begun else ():
                    self._check_turn(earlier, later, begun[0])

    def _check_turn(self, earlier: RequestRecord, later: RequestRecord, begun_at: float) -> None:
        attempts = self.attempts.get(earlier.ref, ())
        attempts = [a for a in attempts if not (a.read_late or a.end_read_late)]
        ends = [a.ended_at if a.ended_at is not None else math.inf for a in attempts]
        over = [answer.at for answer in earlier.answers[:1]]
        over += [at for at in (earlier.cancelled_at, earlier.connection_ended_at) if at is not None]
        out_until = max(ends, default=0.0)
        begins_later = any(a.arrived_at > begun_at + READ_ORDER_S for a in attempts)
        if begun_at < out_until - READ_ORDER_S or begins_later:
            self._break("order", begun_at, f"{later.ref} was sent while {earlier.ref} of its key was out")
        elif not over or begun_at < min(over) - SOCKETS_SLACK_S:
            text = f"{later.ref} was sent before {earlier.ref} of its key had its answer"
            self._break("order", begun_at, text)

    # The end of a process

    def _check_ends(self) -> None:
        grace = grace_s(self.settings)
        for life in self.run.lives:
            if life.terminated_at is not None:
                ended_at = life.ended_at if life.ended_at is not None else math.inf
                if life.killed_at is not None or ended_at > life.terminated_at + grace:
                    text = f"{life.proxy} still ran {grace:.1f} s after SIGTERM"
                    self._break("end", life.terminated_at + grace, text)
                elif life.code != 0 and life.ready_at is not None:
                    self._break("crash", ended_at, f"{life.proxy} ended with code {life.code}")
            elif life.killed_at is None and life.ended_at is not None:
                self._break("crash", life.ended_at, f"{life.proxy} ended with code {life.code}")
            if "topic=violation" in life.stderr or VIOLATIONS.search(life.stderr):
                self._break("violation", life.ended_at or life.started_at, f"{life.proxy} found one itself")
            if "Traceback" in life.stderr:
                self._break("crash", life.ended_at or life.started_at, f"{life.proxy} printed a traceback")

    # Helpers

    def _rule_s(self, name: str) -> float:
        return self.settings["rules"].get(name, 0) / 1e6

    def _read_at_once(self, attempts: Iterable[AttemptRecord]) -> Iterator[AttemptRecord]:
        """Those of which it is known when they arrived."""
        return (attempt for attempt in attempts if not attempt.read_late)

    def _never_ran(self, attempt: AttemptRecord) -> bool:
        return attempt.end is not None and attempt.end.never_ran

    def _arrived(self, ref: str) -> bool:
        return bool(self.attempts.get(ref))

    def _ran(self, ref: str) -> bool:
        return any(a.end is AttemptEnd.SERVED for a in self.attempts.get(ref, ()))

    def _life(self, record: RequestRecord) -> ProxyLife | None:
        return self.run.life_at(record.proxy, record.sent_at)
