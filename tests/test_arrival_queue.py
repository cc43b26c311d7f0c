"""Queue of requests: in order of arrival among all connections, also while some are read in steps."""

from __future__ import annotations

import pytest

from hollowhitch.clock import Clock
from hollowhitch.metrics import Metrics
from hollowhitch.net import arrival_queue
from hollowhitch.net.arrival_queue import ArrivalQueue
from hollowhitch.net.cooperation import yield_to_loop
from hollowhitch.net.loop_monitor import LoopMonitor


@pytest.fixture
def queue() -> ArrivalQueue:
    clock = Clock()
    return ArrivalQueue(clock, LoopMonitor(clock, Metrics()))


def run_loop() -> None:
    """Let the queue handle what may be handled now."""
    for _ in range(20):
        yield_to_loop()


# Guards against a newer request of a key that overtakes an older one on a connection that is read in steps.
def test_a_request_waits_while_older_input_may_be_unread(queue):
    handled = []
    queue.input_is_unread("busy connection", since_us=10)
    queue.input_is_unread("busy connection", since_us=20)  # without effect: older input is still unread
    queue.add(15, lambda _: handled.append(15))
    queue.add(5, lambda _: handled.append(5))
    run_loop()
    assert handled == [5] and queue.handled_until_us == 5
    queue.add(12, lambda _: handled.append(12))
    queue.input_is_read("busy connection")
    run_loop()
    assert handled == [5, 12, 15] and queue.handled_until_us == 15


def test_a_request_that_has_waited_for_too_long_is_handled_as_overdue(queue, monkeypatch):
    handled = []
    monkeypatch.setattr(arrival_queue, "MAX_QUEUED_US", -1)
    queue.input_is_unread("busy connection", since_us=10)
    queue.add(15, handled.append)
    run_loop()
    assert handled == [True]


# Guards against memory that grows without end while a client takes its requests back at full speed.
def test_a_request_that_was_taken_back_leaves_the_queue(queue):
    handled = []
    for number in range(5_000):
        queue.add(number, handled.append).cancel()
    assert queue.pending_count < 1_000
    queue.add(7, handled.append)
    run_loop()
    assert handled == [False]
