"""Queue of requests: fair among connections, and in order of arrival for each key."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from hollowhitch.net.request_queue import MAX_UNREAD_US, QUANTUM_US, RequestQueue

KEY = b"key"
LONG_US = 1_000_000_000


class ManualClock:
    """Clock that tests move."""

    def __init__(self) -> None:
        self.time_us = 1_000_000

    def now_us(self) -> int:
        return self.time_us


class Fixture:
    """A queue, and the numbers of the requests that it has started."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.queue = RequestQueue(self.clock, lambda: None)
        self.started: list[object] = []

    def add(self, connection: str, arrived_at_us: int, key: bytes | None = None, cost_us: int = 0):
        def start() -> None:
            self.clock.time_us += cost_us
            self.started.append(arrived_at_us)

        return self.queue.add(connection, arrived_at_us, key, start)

    def run(self, duration_us: int = LONG_US) -> None:
        self.queue.run(duration_us)


@pytest.fixture
def fixture() -> Fixture:
    return Fixture()


# Guards against a newer request of a key that overtakes an older one on a connection that is read in steps.
def test_a_request_waits_while_older_input_may_be_unread(fixture):
    fixture.queue.input_is_unread("busy", since_us=10)
    fixture.queue.input_is_unread("busy", since_us=20)  # without effect: older input is still unread
    fixture.add("a", 15, KEY)
    fixture.add("a", 5, KEY)
    fixture.run()
    assert fixture.started == [5] and fixture.queue.started_until_us == 5
    fixture.add("busy", 12, KEY)
    fixture.queue.input_is_read("busy")
    fixture.run()
    assert fixture.started == [5, 12, 15] and fixture.queue.started_until_us == 15


# Guards against requests that wait without end for a client that sends faster than its input can be read.
def test_a_request_does_not_wait_for_input_that_is_late(fixture):
    fixture.queue.input_is_unread("busy", since_us=10)
    fixture.add("a", 15, KEY)
    fixture.clock.time_us += MAX_UNREAD_US
    fixture.run()
    assert fixture.started == []
    fixture.clock.time_us += 1
    fixture.run()
    assert fixture.started == [15]


# Guards against the loads of all clients that wait for the reading of one client that floods the process.
def test_only_requests_with_a_key_wait_for_the_input_of_others(fixture):
    fixture.queue.input_is_unread("busy", since_us=10)
    fixture.add("a", 15)
    fixture.run()
    assert fixture.started == [15]


# Guards against a request that is started although its cancellation may lie behind it, unread.
@pytest.mark.parametrize("key", [None, KEY])
def test_a_request_waits_until_the_input_of_its_own_connection_is_read(fixture, key):
    fixture.queue.input_is_unread("a", since_us=10)
    fixture.add("a", 15, key)
    fixture.clock.time_us += 10 * MAX_UNREAD_US
    fixture.run()
    assert fixture.started == [] and not fixture.queue.has_work()
    fixture.queue.input_is_read("a")
    fixture.run()
    assert fixture.started == [15]


# Guards against loads that wait for one of their key on a connection that is flooded.
def test_a_request_does_not_wait_for_one_of_its_key_whose_input_is_late(fixture):
    fixture.queue.input_is_unread("busy", since_us=10)
    fixture.add("busy", 15, KEY)
    fixture.clock.time_us += MAX_UNREAD_US + 1
    fixture.run()
    fixture.add("a", 20, KEY)
    fixture.run()
    assert fixture.started == [20]
    fixture.queue.input_is_read("busy")
    fixture.run()
    assert fixture.started == [20, 15]


# Guards against a load that is started before an older one of its key, whose connection has its turn later.
def test_requests_with_one_key_are_started_in_order_whatever_their_connections(fixture):
    older = fixture.add("a", 10, KEY)
    fixture.add("b", 20, KEY)
    fixture.add("b", 30)
    fixture.queue.input_is_unread("a", since_us=40)
    fixture.run()
    assert fixture.started == [30]
    older.cancel()
    fixture.run()
    assert fixture.started == [30, 20]


# Guards against a crowd of requests, read at once, that keeps all others waiting while they are handled.
def test_requests_are_started_for_no_longer_than_a_share(fixture):
    for number in (2, 0, 1):
        fixture.add(f"connection {number}", number, cost_us=QUANTUM_US)
    for _ in range(3):
        fixture.run(QUANTUM_US)
    assert fixture.started == [0, 1, 2]
    assert fixture.clock.time_us == 1_000_000 + 3 * QUANTUM_US


# Guards against the requests of one client that are all started before those of others.
def test_a_connection_with_many_requests_does_not_delay_another_one(fixture):
    for number in range(100):
        fixture.add("many", number, cost_us=QUANTUM_US // 4)
    fixture.add("single", 1_000, cost_us=QUANTUM_US // 4)
    fixture.run()
    assert fixture.started.index(1_000) <= 4


# Guards against memory that grows without end while a client takes its requests back at full speed.
@pytest.mark.parametrize("key", [None, KEY])
@pytest.mark.parametrize("is_run", [False, True])
def test_a_request_that_was_taken_back_leaves_the_queue(fixture, key, is_run):
    for number in range(5_000):
        fixture.queue.input_is_unread("a", since_us=0)
        request = fixture.add("a", number, key)
        if is_run:
            fixture.clock.time_us += MAX_UNREAD_US + 1
            fixture.run()
        request.cancel()
        assert len(fixture.queue) < 1_000
    fixture.queue.input_is_read("a")
    fixture.add("a", 7, key)
    fixture.run()
    assert fixture.started == [7] and not len(fixture.queue)


# Guards against a request that is started after it was cancelled, or not at all, in any state of the queue.
@pytest.mark.parametrize("position", [0, 1, 2])
@pytest.mark.parametrize("prepare", [lambda f: None, lambda f: f.queue.has_work()])
def test_any_request_of_a_key_can_be_cancelled(fixture, position: int, prepare: Callable):
    requests = [fixture.add("abc"[number], number, KEY) for number in range(3)]
    prepare(fixture)
    requests[position].cancel()
    fixture.run()
    assert fixture.started == [number for number in range(3) if number != position]
