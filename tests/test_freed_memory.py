"""Memory of queries that have ended: it is freed at once, and not by a garbage collection or a timer."""

from __future__ import annotations

import gc
import math
import weakref

import pytest

from hollowhitch import gateway as gw
from hollowhitch.call_heap import MAX_CANCELLED_CALLS, CallHeap
from hollowhitch.policy import interface as api
from hollowhitch.policy import records
from hollowhitch.policy.queues import MAX_STALE_ENTRIES
from tests.conftest import SECOND_US, ControllerDriver, make_controller_settings, make_engine
from tests.test_proxy import Client, answer_rows, start_proxy

__all__ = ["start_proxy"]  # a fixture

RECORD_TYPES = (gw.Query, gw.Attempt, records.Query, records.Attempt)


def count_records() -> int:
    """Return the number of records of queries and attempts that are in memory."""
    return sum(isinstance(o, RECORD_TYPES) for o in gc.get_objects())


# Guards against statements that stay in memory until a garbage collection, 250 KB for each served load.
def test_served_queries_are_freed_without_a_garbage_collection(start_proxy):
    proxy, _ = start_proxy(answer_rows)
    client = Client(proxy)
    gc.collect()
    gc.disable()
    try:
        before = count_records()
        for number in range(1, 21):
            client.send_request(number, ref=f"{number:016x}")
            client.read_answer()
        # The records of the last query may still be referenced by the attempt that ends just now.
        assert count_records() - before <= len(RECORD_TYPES)
    finally:
        gc.enable()


# Guards against ended queries that stay in the controller's schedule until their time limits.
@pytest.mark.parametrize("ends", ["served", "left"])
def test_the_controller_keeps_nothing_of_an_ended_query(ends):
    driver = ControllerDriver(make_engine("a"), make_engine("b"))
    gc.collect()
    before = count_records()
    for number in range(2 * MAX_CANCELLED_CALLS):
        driver.submit(f"q{number}", expires_in_us=20 * SECOND_US)
        if ends == "served":
            driver.end_attempt(f"q{number}", api.Outcome.OK)
        else:
            driver.handle(api.ClientLeft(f"q{number}"))
            driver.end_attempt(f"q{number}", api.Outcome.CANCELLED, is_final=True)
        driver.now_us += SECOND_US // 10
    # The charges of cancelled attempts are kept for a typical latency.
    assert not driver.controller.queries and count_records() - before <= 2 * MAX_CANCELLED_CALLS // 8
    assert len(driver.controller.schedule) <= MAX_CANCELLED_CALLS + 2 * MAX_CANCELLED_CALLS // 8


# Guards against held queries that stay in their queue behind an older one after their clients have left.
def test_queries_that_left_do_not_stay_in_the_queue_of_held_ones():
    driver = ControllerDriver(settings=make_controller_settings())  # without an engine, all are held
    driver.submit("head", expires_in_us=20 * SECOND_US)
    for number in range(4 * MAX_STALE_ENTRIES):
        driver.submit(f"q{number}", expires_in_us=20 * SECOND_US)
        driver.handle(api.ClientLeft(f"q{number}"))
    queued_count = sum(len(queue) for queue in driver.controller.held_queries.queues.values())
    assert queued_count <= MAX_STALE_ENTRIES + 2


def test_cancelled_calls_are_dropped_and_the_others_run_in_order():
    heap, made = CallHeap(), []
    calls = [heap.add(due_at, lambda n=due_at: made.append(n)) for due_at in range(3000, 0, -1)]
    kept = [call for number, call in enumerate(calls) if number % 10 == 0]
    callback_refs = [weakref.ref(call.callback) for call in calls if call not in kept]
    for call in set(calls) - set(kept):
        call.cancel()
        call.cancel()  # without effect
    assert len(heap) <= 2 * len(kept) + MAX_CANCELLED_CALLS
    assert not any(callback_ref() for callback_ref in callback_refs)
    while heap.next_due_at() < math.inf:
        heap.pop_due(10_000)()
    assert made == sorted(made) and len(made) == len(kept) and heap.pop_due(10_000) is None
