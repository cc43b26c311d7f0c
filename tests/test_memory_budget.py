"""Budget of the memory that is held for clients, and the parts that connections get of it."""

from __future__ import annotations

import pytest

from hollowhitch.net.memory_budget import ConnectionMemory, MemoryBudget

LIMIT_BYTES, REQUEST_BYTES = 2_000_000, 2_500


# Guards against requests that are refused because other clients have taken all memory for theirs.
@pytest.mark.parametrize("greedy_count", [1, 8, 24, 80])
def test_clients_that_take_all_they_can_leave_room_for_others(greedy_count):
    budget = MemoryBudget(LIMIT_BYTES)
    greedy = [ConnectionMemory(budget) for _ in range(greedy_count)]
    for stream in range(2_000):
        for memory in greedy:
            memory.hold_request(stream, REQUEST_BYTES)
    usual = ConnectionMemory(budget)
    assert all(usual.hold_request(stream, REQUEST_BYTES) for stream in range(3))
    assert budget.held_bytes <= LIMIT_BYTES


def test_one_client_may_hold_much_of_the_budget():
    budget = MemoryBudget(LIMIT_BYTES)
    memory = ConnectionMemory(budget)
    held = sum(memory.hold_request(stream, REQUEST_BYTES) for stream in range(2_000)) * REQUEST_BYTES
    assert LIMIT_BYTES * 0.4 < held <= LIMIT_BYTES
    memory.release_all()
    assert not budget.held_bytes and memory.hold_request(1, LIMIT_BYTES)
