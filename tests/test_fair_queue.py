"""Fair queue: turns among members, against a model under random steps."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hollowhitch.net.fair_queue import FairQueue

QUANTUM, MAX_DEBT, MAX_COST = 10, 40, 25
MEMBERS = st.integers(0, 5)


class FairQueueMachine(RuleBasedStateMachine):
    """Members get work, spend their turns and lose their work, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue: FairQueue[int] = FairQueue(QUANTUM, MAX_DEBT)
        self.with_work: set[int] = set()
        # What the others have spent since a member with work had its last turn.
        self.spent_by_others: dict[int, dict[int, int]] = {}

    @rule(member=MEMBERS)
    def add(self, member: int) -> None:
        self.queue.add(member)
        self.with_work.add(member)
        self.spent_by_others.setdefault(member, {})

    @rule(member=MEMBERS)
    def remove(self, member: int) -> None:
        self.queue.remove(member)
        self.with_work.discard(member)
        self.spent_by_others.pop(member, None)

    @precondition(lambda self: self.with_work)
    @rule(cost=st.integers(1, MAX_COST))
    def take_turn(self, cost: int) -> None:
        member = self.queue.next()
        assert member in self.with_work  # no share stays idle while there is work
        assert 0 < self.queue.credit(member) <= QUANTUM
        self.queue.charge(member, cost)
        self.spent_by_others[member] = {}
        for waiting, spent in self.spent_by_others.items():
            if waiting != member:
                spent[member] = spent.get(member, 0) + cost

    @rule(member=MEMBERS, cost=st.integers(1, 1_000))
    def charge_for_other_work(self, member: int, cost: int) -> None:
        self.queue.charge(member, cost)
        if member in self.spent_by_others:  # it waits longer, but the others do not
            self.spent_by_others[member] = {}

    @invariant()
    def nobody_waits_for_more_than_a_bounded_number_of_quanta(self) -> None:
        # A member waits at most until its largest debt is made up for, and meanwhile each other one may spend
        # a quantum in each round, the one that it has left, and what its last turn exceeds.
        rounds = MAX_DEBT // QUANTUM + 2
        for spent in self.spent_by_others.values():
            assert all(cost <= (rounds + 1) * QUANTUM + MAX_COST for cost in spent.values())

    @invariant()
    def length_is_the_number_of_members_with_work(self) -> None:
        assert len(self.queue) == len(self.with_work)


TestFairQueue = FairQueueMachine.TestCase


# Guards against a client that sends now and then and waits for a round of all those that always send.
def test_a_member_with_new_work_comes_before_those_that_always_have_some():
    queue: FairQueue[str] = FairQueue(QUANTUM, MAX_DEBT)
    for number in range(100):
        queue.add(f"busy {number}")
    for _ in range(150):
        queue.charge(queue.next(), QUANTUM)
    queue.add("usual")
    assert queue.next() == "usual"


def test_a_member_that_has_overspent_waits_until_others_have_caught_up():
    queue: FairQueue[str] = FairQueue(QUANTUM, MAX_DEBT)
    queue.add("greedy")
    queue.add("modest")
    assert queue.next() == "greedy"
    queue.charge("greedy", 3 * QUANTUM)
    turns = []
    for _ in range(4):
        turns.append(queue.next())
        queue.charge(turns[-1], QUANTUM)
    assert turns == ["modest", "modest", "modest", "greedy"]


# Guards against memory that grows with the number of members that ever had work.
def test_members_without_work_are_forgotten():
    queue: FairQueue[int] = FairQueue(QUANTUM, MAX_DEBT)
    queue.add(-1)
    for member in range(1_000):
        queue.add(member)
        assert queue.next() is not None
        queue.remove(member)
        queue.charge(queue.next(), QUANTUM)
    assert len(queue._credit) < 10 and len(queue._new) + len(queue._old) < 10
