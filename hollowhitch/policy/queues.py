"""Queues of the held queries, by worth and by age."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any

from hollowhitch.policy.records import Query

# The heap is cleaned up once its stale entries (of queries no longer held) exceed the others by this many.
MAX_STALE_ENTRIES = 256


class HeldQueries:
    """Held queries, in one queue for each group of queries with the same needs.

    If no engine admits the head of a queue, none admits the queries behind it, so only heads are tried.
    """

    def __init__(self) -> None:
        self.queues: dict[Any, deque[Query]] = {}
        self.by_worth: list[tuple[float, int, Query]] = []  # heap of worth, serial number and query
        self.work_us, self.count, self.serial = 0.0, 0, 0

    def add(self, group: Any, query: Query, worth: float, is_next: bool) -> None:
        """Mark a query as held, and append it to its group's queue if it is the next of its order key.

        `worth` is the query's worth per unit of work, by which `pop_least_worth` chooses.
        """
        query.held = True
        self.work_us += query.work_us
        self.count += 1
        self.serial += 1
        heapq.heappush(self.by_worth, (worth, self.serial, query))
        if is_next:
            self.queues.setdefault(group, deque()).append(query)

    def remove(self, query: Query) -> None:
        """Mark a query as no longer held; its entries in the heap and in its queue are dropped later."""
        if query.held:
            query.held = False
            self.work_us -= query.work_us
            self.count -= 1
            # Entries of queries that are no longer held must not accumulate.
            if len(self.by_worth) > 2 * self.count + MAX_STALE_ENTRIES:
                self.by_worth = [entry for entry in self.by_worth if entry[2].held]
                heapq.heapify(self.by_worth)
                self._drop_stale_queue_entries()

    def _drop_stale_queue_entries(self) -> None:
        """Remove the entries of queries that are no longer held from all queues."""
        for group, queue in list(self.queues.items()):
            self.queues[group] = deque(query for query in queue if query.held)
            if not self.queues[group]:
                del self.queues[group]

    def pop_least_worth(self, wanted: Callable[[Query], bool]) -> Query | None:
        """Return the held query of least worth per unit of work that `wanted` accepts, or None.

        Its entry is removed, and so are those of the queries that `wanted` rejects.
        """
        while self.by_worth:
            query = heapq.heappop(self.by_worth)[2]
            if query.held and not query.closed and wanted(query):
                return query
        return None

    def head(self, group: Any) -> Query | None:
        """Return the oldest held query of a group, or None; drop the entries of queries no longer held."""
        queue = self.queues.get(group)
        while queue and (queue[0].closed or not queue[0].held):
            queue.popleft()
        if not queue:
            self.queues.pop(group, None)
            return None
        return queue[0]

    def offer_oldest_first(self, send: Callable[[Query], bool]) -> None:
        """Offer the heads of the queues to `send`, the oldest first.

        `send` returns whether it has sent the query. A queue whose head was not sent is skipped from then on.
        """
        heads = [
            (query.arrived_at_us, n, g) for n, g in enumerate(list(self.queues)) if (query := self.head(g))
        ]
        heapq.heapify(heads)
        while heads:
            _, n, group = heads[0]
            head = self.head(group)
            if head is not None and send(head):
                self.remove(head)
                head = self.head(group)
                if head is not None:
                    heapq.heapreplace(heads, (head.arrived_at_us, n, group))
                    continue
            heapq.heappop(heads)
