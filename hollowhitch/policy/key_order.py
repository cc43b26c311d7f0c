"""Order of the queries with the same order key: one at a time, in the order of arrival.

A query is over once it is closed (answered, or its client no longer waits), none of its attempts is in
flight, and its answer is delivered. Only the oldest query of a key that is not over may start. All times are
microseconds on the caller's clock.
"""

from __future__ import annotations

from collections import deque


class KeyedQuery:
    """What the order of a key depends on, for one query."""

    __slots__ = ("id", "key", "attempts_in_flight", "was_sent", "is_closed", "is_delivered")

    def __init__(self, query_id: str, key: int, is_delivered: bool) -> None:
        self.id, self.key = query_id, key
        self.attempts_in_flight = 0
        self.was_sent = self.is_closed = False
        self.is_delivered = is_delivered

    @property
    def is_over(self) -> bool:
        """Whether the next query of the key may start."""
        return self.is_closed and self.is_delivered and not self.attempts_in_flight


class KeyOrder:
    """Queues of all order keys.

    The methods for events ignore queries without an order key. They return whether the query was at the head
    of its queue and is over now, so that the next one has its turn.
    """

    def __init__(self) -> None:
        self.queues: dict[int, deque[KeyedQuery]] = {}
        self.queries: dict[str, KeyedQuery] = {}
        # By order key, the time until which no query of the key may start: an earlier one may still run.
        self.delayed_until_us: dict[int, int] = {}

    # Events

    def query_arrived(self, query_id: str, key: int | None, awaits_delivery: bool) -> None:
        """Append a query to its key's queue.

        Without `awaits_delivery`, its answer counts as delivered as soon as it is given.
        """
        if key is not None:
            self.queries[query_id] = query = KeyedQuery(query_id, key, not awaits_delivery)
            self.queues.setdefault(key, deque()).append(query)

    def attempt_sent(self, query_id: str) -> None:
        """Note that an attempt of the query is in flight."""
        if (query := self.queries.get(query_id)) is not None:
            query.was_sent = True
            query.attempts_in_flight += 1

    def attempt_ended(self, query_id: str, may_run_until_us: int | None) -> bool:
        """Note that an attempt has ended. It may still run until the given time; None: it does not."""
        if (query := self.queries.get(query_id)) is None:
            return False
        query.attempts_in_flight -= 1
        if may_run_until_us is not None:
            self.delayed_until_us[query.key] = may_run_until_us
        return self._remove_if_over(query)

    def query_closed(self, query_id: str) -> bool:
        """Note that the query has its final answer, or that its client no longer waits."""
        if (query := self.queries.get(query_id)) is None:
            return False
        query.is_closed = True
        return self._remove_if_over(query)

    def answer_delivered(self, query_id: str) -> bool:
        """Note that the query's answer has left the process, or that nobody waits for it."""
        if (query := self.queries.get(query_id)) is None:
            return False
        query.is_delivered = True
        return self._remove_if_over(query)

    def _remove_if_over(self, query: KeyedQuery) -> bool:
        if not query.is_over:
            return False
        del self.queries[query.id]
        queue = self.queues[query.key]
        was_head = queue[0] is query
        queue.remove(query)
        if not queue:
            del self.queues[query.key]
        return was_head

    # Decisions

    def key_of(self, query_id: str) -> int | None:
        """Return the order key of a query that is not over; None if it has no key or is over."""
        query = self.queries.get(query_id)
        return query.key if query is not None else None

    def may_start(self, query_id: str, now_us: int) -> bool:
        """Return whether an attempt of the query may be sent, as far as its order key is concerned.

        Further attempts of a query that was sent do not wait for the key's delay.
        """
        query = self.queries.get(query_id)
        if query is None:
            return True
        is_head = self.queues[query.key][0] is query
        return is_head and (query.was_sent or now_us >= self.delayed_until_us.get(query.key, 0))

    def next_query_id(self, key: int) -> str | None:
        """Return the oldest query of a key that is not over, or None."""
        queue = self.queues.get(key)
        return queue[0].id if queue else None

    def next_start_us(self, key: int, now_us: int) -> int:
        """Return the earliest time at which the next query of a key may start."""
        return max(now_us, self.delayed_until_us.get(key, 0))

    def forget_delay(self, key: int, now_us: int) -> None:
        """Forget the delay of a key without queries, if it is over."""
        if key not in self.queues and now_us >= self.delayed_until_us.get(key, 0):
            self.delayed_until_us.pop(key, None)
