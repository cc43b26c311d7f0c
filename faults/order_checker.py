"""Checks whether the proxies of a fault run carried out the operators' orders in time.

The checker reads only records, never a proxy's internal state. All times are seconds on the monotonic clock.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from faults.records import (
    MAX_DELIVERY_DELAY_S,
    ConnectionRecord,
    OrderRecord,
    ProcessRecord,
    RequestRecord,
    RuleViolation,
    RunRecord,
)

MAX_ANSWER_TIME_S = 1.0  # seconds within which the console has to answer an order
MAX_DRAIN_TIME_S = 4.0  # seconds from an order to drain until no idle or busy connection may be held
BUSY_WINDOW_S = 2.0  # a connection is busy for this many seconds after its last request
MAX_UNDRAIN_TIME_S = 2.0  # seconds from an order to undrain until the proxy has to report ready
SLACK_S = 0.05  # seconds added to time limits, for the delay of the records
MAX_CHANNEL_LATENCY_S = 0.25  # seconds within which an event reaches a proxy whose channel connection works
HTTP_NOT_FOUND = 404
CHECK_INTERVAL_S = 0.5  # seconds between checks of the connections of a drained proxy
NEW_CONNECTION_S = 0.5  # a connection younger than this many seconds may be about to send its first request


@dataclass(frozen=True, slots=True)
class OrderSpan:
    """The time in which an order is in force."""

    proxy: str
    engine_name: str
    sent_at: float  # when the order was sent
    binding_at: float  # when the order was answered, or had to be: from then on it has to be obeyed
    until: float  # when the opposite order was sent, or the process ended


class OrderChecker:
    """Checks the records of one run against the orders of its operators."""

    def __init__(self, run: RunRecord) -> None:
        self.run = run
        self.proxy_of = {record.ref: record.proxy for record in run.requests}
        self.requests: dict[int, list[RequestRecord]] = defaultdict(list)
        for record in run.requests:
            self.requests[record.connection].append(record)
        self.violations: list[RuleViolation] = []

    def check(self) -> list[RuleViolation]:
        """Return all rule violations, unsorted."""
        for order in self.run.orders:
            self._check_answer(order)
        drains = list(self._order_spans("/drain", "/undrain"))
        for drain in drains:
            self._check_readiness(drain)
            self._check_connections(drain)
        self._check_ready_after_undrain()
        for disabling in self._order_spans("/databases/disable", "/databases/enable"):
            self._check_disabled_engine(disabling)
        return self.violations

    def _add_violation(self, rule: str, at: float, text: str) -> None:
        self.violations.append(RuleViolation(rule, at, text))

    def _check_answer(self, order: OrderRecord) -> None:
        due_at = order.sent_at + MAX_ANSWER_TIME_S
        process = self.run.process_at(order.proxy, order.sent_at)
        is_due = process is not None and process.ready_at is not None and process.ready_at <= order.sent_at
        if not is_due or self._process_end(process) <= due_at:
            return
        name = f"{order.path} {order.engine_name} at {order.proxy}"
        if order.answered_at is None or order.answered_at > due_at:
            self._add_violation("order", due_at, f"{name} was not answered within {MAX_ANSWER_TIME_S:g} s")
        elif order.accepted != order.expects_success and not self._may_not_be_listed_yet(order):
            self._add_violation("order", order.answered_at, f"{name} got {order.status} {order.text.strip()}")

    def _may_not_be_listed_yet(self, order: OrderRecord) -> bool:
        """Return whether the engine was announced so recently that the proxy may not know it."""
        announcement_times = [
            announcement.announced_at
            for announcement in self.run.announcements
            if announcement.engine == order.engine_name
        ]
        if not announcement_times or order.status != HTTP_NOT_FOUND:
            return False
        first_announced_at = min(announcement_times)
        return order.sent_at < first_announced_at + (
            MAX_DELIVERY_DELAY_S
            if self.run.is_near_channel_outage(first_announced_at)
            else MAX_CHANNEL_LATENCY_S
        )

    def _order_spans(self, starting_path: str, ending_path: str) -> Iterator[OrderSpan]:
        """Yield the times in which an order was in force: from the first such order to the one that ends it.

        An order without an answer counts as carried out, unless the console refused the connection.
        """
        open_orders: dict[tuple[str, str], OrderRecord] = {}
        for order in sorted(self.run.orders, key=lambda o: o.sent_at):
            key = (order.proxy, order.engine_name)
            took_effect = order.accepted or (order.status is None and not order.refused)
            if order.path == starting_path and took_effect:
                first = open_orders.get(key)
                if first is None or self._process_end_of(first) < order.sent_at:
                    if first is not None:
                        yield self._order_span(first, math.inf)
                    open_orders[key] = order
            elif order.path == ending_path and order.accepted and key in open_orders:
                yield self._order_span(open_orders.pop(key), order.sent_at)
        for order in open_orders.values():
            yield self._order_span(order, math.inf)

    def _order_span(self, order: OrderRecord, until: float) -> OrderSpan:
        answered_at = order.answered_at if order.answered_at is not None else math.inf
        binding_at = min(answered_at, order.sent_at + MAX_ANSWER_TIME_S)
        return OrderSpan(
            order.proxy, order.engine_name, order.sent_at, binding_at, min(until, self._process_end_of(order))
        )

    def _process_end_of(self, order: OrderRecord) -> float:
        return self._process_end(self.run.process_at(order.proxy, order.sent_at))

    # Drained proxies.

    def _check_readiness(self, drain: OrderSpan) -> None:
        for answer in self.run.readiness:
            in_force = drain.binding_at < answer.asked_at and answer.answered_at < drain.until
            if answer.proxy == drain.proxy and answer.ready and in_force:
                elapsed_s = answer.asked_at - drain.sent_at
                text = (
                    f"{drain.proxy} still reported that it is ready {elapsed_s:.2f} s after its drain began"
                )
                self._add_violation("lost", answer.asked_at, f"{text} ({answer.source})")

    def _check_connections(self, drain: OrderSpan) -> None:
        reported: set[int] = set()
        check_at = drain.sent_at + MAX_DRAIN_TIME_S + SLACK_S
        last_check_at = min(drain.until, self._last_recorded_at() + SLACK_S)
        while check_at < last_check_at:
            for connection in self.run.connections:
                if connection.number not in reported and self._is_held(connection, drain.proxy, check_at):
                    reported.add(connection.number)
                    elapsed_s = check_at - drain.sent_at
                    text = f"{drain.proxy} still held a connection {elapsed_s:.2f} s after its drain began"
                    self._add_violation("lost", check_at, f"{text}: {self._describe(connection, check_at)}")
            check_at += CHECK_INTERVAL_S

    def _is_held(self, connection: ConnectionRecord, proxy: str, at: float) -> bool:
        """Return whether the proxy holds this connection although it is idle or has a recent request."""
        if (
            connection.proxy != proxy
            or not connection.is_reading
            or connection.opened_at > at - NEW_CONNECTION_S
        ):
            return False
        if connection.ended_at is not None and connection.ended_at <= at:
            return False
        return (
            not self._has_open_request(connection, at)
            or self._last_request_at(connection, at) > at - BUSY_WINDOW_S
        )

    def _has_open_request(self, connection: ConnectionRecord, at: float) -> bool:
        return any(self._is_open(record, at) for record in self.requests[connection.number])

    def _is_open(self, record: RequestRecord, at: float) -> bool:
        end_times = [answer.received_at for answer in record.answers[:1]]
        end_times += [record.cancelled_at] if record.cancelled_at is not None else []
        return record.sent_at <= at and at < min(end_times, default=math.inf)

    def _last_request_at(self, connection: ConnectionRecord, at: float) -> float:
        sent_times = (r.sent_at for r in self.requests[connection.number] if r.sent_at <= at)
        return max(sent_times, default=-math.inf)

    def _describe(self, connection: ConnectionRecord, at: float) -> str:
        idle_s = at - self._last_request_at(connection, at)
        state = "with an open request" if self._has_open_request(connection, at) else "idle"
        return f"connection {connection.number}, {state}, last request sent {idle_s:.2f} s before"

    def _last_recorded_at(self) -> float:
        """Return the time of the last recorded event."""
        process_ends = [process.ended_at for process in self.run.processes if process.ended_at is not None]
        connection_ends = [c.ended_at for c in self.run.connections if c.ended_at is not None]
        return max([*process_ends, *connection_ends, *(r.sent_at for r in self.run.requests)], default=0.0)

    def _check_ready_after_undrain(self) -> None:
        orders = sorted(
            (o for o in self.run.orders if o.path in ("/drain", "/undrain")), key=lambda o: o.sent_at
        )
        for position, order in enumerate(orders):
            if order.path != "/undrain" or not order.accepted:
                continue
            later_drains = (
                o.sent_at for o in orders[position + 1 :] if o.proxy == order.proxy and o.path == "/drain"
            )
            until = min(next(later_drains, math.inf), self._process_end_of(order))
            for answer in self.run.readiness:
                due_at = order.sent_at + MAX_UNDRAIN_TIME_S
                in_time = due_at < answer.asked_at and answer.answered_at < until
                if answer.proxy == order.proxy and not answer.ready and in_time:
                    text = f"{order.proxy} was undrained but reported that it is not ready ({answer.source})"
                    self._add_violation("undrain", answer.asked_at, text)

    # Engines that an operator disabled.

    def _check_disabled_engine(self, disabling: OrderSpan) -> None:
        for attempt in self.run.attempts:
            if attempt.engine != disabling.engine_name or attempt.read_late:
                continue
            from_this_proxy = self.proxy_of.get(attempt.ref) == disabling.proxy
            if from_this_proxy and disabling.binding_at + SLACK_S < attempt.first_byte_at < disabling.until:
                elapsed_s = attempt.first_byte_at - disabling.sent_at
                text = (
                    f"{attempt.ref} went to {disabling.engine_name} {elapsed_s:.3f} s after it was disabled"
                )
                self._add_violation("drain", attempt.first_byte_at, f"{text} at {disabling.proxy}")

    # Helpers.

    def _process_end(self, process: ProcessRecord | None) -> float:
        """Return when a process was signalled to stop, was killed or exited, whichever came first.

        The result is 0 without a process, and infinity for a process to which none of these happened.
        """
        if process is None:
            return 0.0
        ends = (process.terminated_at, process.killed_at, process.ended_at)
        return min((at for at in ends if at is not None), default=math.inf)
