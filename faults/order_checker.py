"""The operators' part of the checker: was each order obeyed in time? It reads records alone.

Every time is a span on the monotonic clock, in seconds.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from faults.records import TOLD_LATE_S, Break, ConnectionRecord, OrderRecord, ProxyLife, RequestRecord, Run

ORDER_WITHIN_S = 1.0  # an answer to a call is owed by then
CLEARED_WITHIN_S = 4.0  # after a call to drain, no idle or busy connection is held any more
RECENT_S = 2.0  # a connection with a request as recent as this is busy
READY_AGAIN_S = 2.0  # after the drain has ended
SLACK_S = 0.05
HEARD_S = 0.25  # for news of the channel to reach a proxy that hears it
UNKNOWN = 404
LOOK_EVERY_S = 0.5  # between looks at the connections of a drained proxy
NEW_S = 0.5  # a connection so new may still be about to ask


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which an order stood."""

    proxy: str
    subject: str
    since: float  # when it was told
    answered: float  # from when on it binds at once
    until: float


class OrderChecker:
    """Checks one run's orders."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.proxy_of = {record.ref: record.proxy for record in run.requests}
        self.requests: dict[int, list[RequestRecord]] = defaultdict(list)
        for record in run.requests:
            self.requests[record.connection].append(record)
        self.breaks: list[Break] = []

    def check(self) -> list[Break]:
        for order in self.run.orders:
            self._check_answer(order)
        drains = list(self._spans("/drain", "/undrain"))
        for drain in drains:
            self._check_readiness(drain)
            self._check_connections(drain)
        self._check_ready_again()
        for ban in self._spans("/databases/disable", "/databases/enable"):
            self._check_ban(ban)
        return self.breaks

    def _break(self, rule: str, at: float, text: str) -> None:
        self.breaks.append(Break(rule, at, text))

    def _check_answer(self, order: OrderRecord) -> None:
        by = order.sent_at + ORDER_WITHIN_S
        life = self.run.life_at(order.proxy, order.sent_at)
        owed = life is not None and life.ready_at is not None and life.ready_at <= order.sent_at
        if not owed or self._ends(life) <= by:
            return
        name = f"{order.path} {order.subject} at {order.proxy}"
        if order.answered_at is None or order.answered_at > by:
            self._break("order", by, f"{name} was not answered within {ORDER_WITHIN_S:g} s")
        elif order.accepted != order.expect_yes and not self._may_be_unknown(order):
            self._break("order", order.answered_at, f"{name} got {order.status} {order.text.strip()}")

    def _may_be_unknown(self, order: OrderRecord) -> bool:
        """Was the database told of so lately that the proxy may not have heard?"""
        told = [state.told_at for state in self.run.states if state.server == order.subject]
        if not told or order.status != UNKNOWN:
            return False
        first = min(told)
        return order.sent_at < first + (TOLD_LATE_S if self.run.is_troubled(first) else HEARD_S)

    def _spans(self, begins: str, ends: str) -> Iterator[Span]:
        """Times in which an order stood: from its first call until the call that undoes it."""
        standing: dict[tuple[str, str], OrderRecord] = {}
        for order in sorted(self.run.orders, key=lambda o: o.sent_at):
            key = (order.proxy, order.subject)
            heard = order.accepted or (order.status is None and not order.refused)
            if order.path == begins and heard:
                first = standing.get(key)
                if first is None or self._life_ended(first) < order.sent_at:
                    if first is not None:
                        yield self._span(first, math.inf)
                    standing[key] = order
            elif order.path == ends and order.accepted and key in standing:
                yield self._span(standing.pop(key), order.sent_at)
        for order in standing.values():
            yield self._span(order, math.inf)

    def _span(self, order: OrderRecord, until: float) -> Span:
        answered = order.answered_at if order.answered_at is not None else math.inf
        binds = min(answered, order.sent_at + ORDER_WITHIN_S)
        return Span(order.proxy, order.subject, order.sent_at, binds, min(until, self._life_ended(order)))

    def _life_ended(self, order: OrderRecord) -> float:
        return self._ends(self.run.life_at(order.proxy, order.sent_at))

    # Draining

    def _check_readiness(self, drain: Span) -> None:
        for answer in self.run.readiness:
            stood = drain.answered < answer.asked_at and answer.answered_at < drain.until
            if answer.proxy == drain.proxy and answer.ready and stood:
                after = answer.asked_at - drain.since
                text = f"{drain.proxy} was told to drain, and {after:.2f} s later said that it is ready"
                self._break("lost", answer.asked_at, f"{text} ({answer.way})")

    def _check_connections(self, drain: Span) -> None:
        held: set[int] = set()
        look_at = drain.since + CLEARED_WITHIN_S + SLACK_S
        last = min(drain.until, self._last_seen() + SLACK_S)
        while look_at < last:
            for connection in self.run.connections:
                if connection.number not in held and self._is_held(connection, drain.proxy, look_at):
                    held.add(connection.number)
                    after = look_at - drain.since
                    text = f"{drain.proxy} was told to drain, and {after:.2f} s later held a connection"
                    self._break("lost", look_at, f"{text} {self._describe(connection, look_at)}")
            look_at += LOOK_EVERY_S

    def _is_held(self, connection: ConnectionRecord, proxy: str, at: float) -> bool:
        """Is it there, and idle or with a recent request?"""
        if connection.proxy != proxy or not connection.reads or connection.opened_at > at - NEW_S:
            return False
        if connection.ended_at is not None and connection.ended_at <= at:
            return False
        return not self._open(connection, at) or self._last_request(connection, at) > at - RECENT_S

    def _open(self, connection: ConnectionRecord, at: float) -> bool:
        return any(self._is_open(record, at) for record in self.requests[connection.number])

    def _is_open(self, record: RequestRecord, at: float) -> bool:
        over = [answer.at for answer in record.answers[:1]]
        over += [record.cancelled_at] if record.cancelled_at is not None else []
        return record.sent_at <= at and at < min(over, default=math.inf)

    def _last_request(self, connection: ConnectionRecord, at: float) -> float:
        sent = (r.sent_at for r in self.requests[connection.number] if r.sent_at <= at)
        return max(sent, default=-math.inf)

    def _describe(self, connection: ConnectionRecord, at: float) -> str:
        ago = at - self._last_request(connection, at)
        state = "with a request" if self._open(connection, at) else "idle"
        return f"{connection.number}, {state}, the last one sent {ago:.2f} s ago"

    def _last_seen(self) -> float:
        """The last moment that the records tell of."""
        ends = [life.ended_at for life in self.run.lives if life.ended_at is not None]
        seen = [c.ended_at for c in self.run.connections if c.ended_at is not None]
        return max([*ends, *seen, *(r.sent_at for r in self.run.requests)], default=0.0)

    def _check_ready_again(self) -> None:
        orders = sorted(
            (o for o in self.run.orders if o.path in ("/drain", "/undrain")), key=lambda o: o.sent_at
        )
        for place, order in enumerate(orders):
            if order.path != "/undrain" or not order.accepted:
                continue
            later = (o.sent_at for o in orders[place + 1 :] if o.proxy == order.proxy and o.path == "/drain")
            until = min(next(later, math.inf), self._life_ended(order))
            for answer in self.run.readiness:
                due_at = order.sent_at + READY_AGAIN_S
                if answer.proxy == order.proxy and not answer.ready and due_at < answer.asked_at < until:
                    text = f"{order.proxy} was taken back, and later said that it is not ready ({answer.way})"
                    self._break("undrain", answer.asked_at, text)

    # Databases out by hand

    def _check_ban(self, ban: Span) -> None:
        for attempt in self.run.attempts:
            if attempt.server != ban.subject or attempt.read_late:
                continue
            ours = self.proxy_of.get(attempt.ref) == ban.proxy
            if ours and ban.answered + SLACK_S < attempt.first_byte_at < ban.until:
                after = attempt.first_byte_at - ban.since
                text = f"{attempt.ref} went to {ban.subject}, {after:.3f} s after it was to be left out"
                self._break("drain", attempt.first_byte_at, f"{text} by {ban.proxy}")

    # Helpers

    def _ends(self, life: ProxyLife | None) -> float:
        """When a process was told to end, was killed or ended by itself, whichever came first."""
        if life is None:
            return 0.0
        ends = (life.terminated_at, life.killed_at, life.ended_at)
        return min((at for at in ends if at is not None), default=math.inf)
