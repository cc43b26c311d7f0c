"""Fair queue: whose turn it is among peers that share one resource; no I/O.

Deficit round robin with a list for members that have just got work, as in fq_codel (RFC 8290, section 4). A
member may spend a quantum in each round. One that has work only now and then is served before those that
always have some, and one that has spent more than its quantum waits until further rounds have made up for it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable
from typing import Generic, TypeVar

Member = TypeVar("Member", bound=Hashable)


class FairQueue(Generic[Member]):
    """Members with work, and what each of them may still spend in this round.

    `quantum` and all costs are in the same unit, for instance microseconds. A member's debt counts up to
    `max_debt`.
    """

    def __init__(self, quantum: int, max_debt: int) -> None:
        self._quantum, self._max_debt = quantum, max_debt
        self._with_work: set[Member] = set()
        # What each listed member may still spend. Members stay listed until their debt is made up for.
        self._credit: dict[Member, int] = {}
        self._new: deque[Member] = deque()  # members that had no work until just now
        self._old: deque[Member] = deque()

    def __len__(self) -> int:
        """Return the number of members with work."""
        return len(self._with_work)

    def add(self, member: Member) -> None:
        """Note that a member has work. This has no effect if it had some before."""
        self._with_work.add(member)
        if member not in self._credit:
            self._credit[member] = self._quantum
            self._new.append(member)

    def remove(self, member: Member) -> None:
        """Note that a member has no work any more."""
        self._with_work.discard(member)

    def next(self) -> Member | None:
        """Return the member whose turn it is, or None if none has work.

        It stays that member's turn until it has spent its credit or has no work any more.
        """
        while self._with_work:
            members = self._new or self._old
            member = members[0]
            if self._credit[member] <= 0:
                self._credit[member] += self._quantum
            elif member in self._with_work:
                return member
            elif members is self._old:
                members.popleft()
                del self._credit[member]
                continue
            self._old.append(members.popleft())
        self._forget_idle()
        return None

    def _forget_idle(self) -> None:
        """Forget all members, if none has work: there is nobody to whom a debt would matter."""
        self._new.clear()
        self._old.clear()
        self._credit.clear()

    def credit(self, member: Member) -> int:
        """Return what the member, whose turn it is, may spend before the next one's turn."""
        return self._credit[member]

    def charge(self, member: Member, cost: int) -> None:
        """Subtract a cost from a member's credit, unless it has no turn to wait for."""
        if member in self._credit:
            self._credit[member] = max(self._credit[member] - cost, -self._max_debt)
