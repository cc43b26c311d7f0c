"""Tests of the dates of received bytes: a reader that is late does not move them."""

from __future__ import annotations

import random
import time
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from faults.dating import DatedReader, enable_receive_timestamps
from faults.engines import Behaviour, StubEngine
from faults.records import RunRecord

STALL_S = 0.15
MAX_ERROR_S = 0.02  # far less than the stall


@pytest.fixture
def connection() -> Iterator[tuple[socket.socket, DatedReader]]:
    """Provide a sender and the reader of the other end, whose option the listener has passed on."""
    with socket.socket() as listener:
        enable_receive_timestamps(listener)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sender = socket.create_connection(listener.getsockname())
        receiver, _ = listener.accept()
    with sender, receiver:
        gevent.sleep(0.01)
        yield sender, DatedReader(receiver)


def test_bytes_are_dated_by_their_arrival_although_the_harness_stalls(connection):
    sender, reader = connection
    sender.sendall(b"a")
    sent_at = time.monotonic()
    time.sleep(STALL_S)
    reading = reader.read()
    assert reading.data == b"a"
    assert reading.earliest_at <= reading.received_at
    assert sent_at - MAX_ERROR_S < reading.received_at < sent_at + MAX_ERROR_S


def test_the_end_of_a_connection_may_be_as_early_as_the_last_poll_before_a_stall(connection):
    sender, reader = connection
    sender.close()
    closed_at = time.monotonic()
    time.sleep(STALL_S)
    reading = reader.read()
    assert reading.data == b"" and reading.earliest_at <= closed_at


def test_a_close_that_arrived_with_bytes_read_late_may_be_as_early_as_they(connection):
    sender, reader = connection
    sender.sendall(b"a")
    sender.close()
    closed_at = time.monotonic()
    reader.pause()
    gevent.sleep(STALL_S)
    assert reader.read().data == b"a"
    reader.pause()
    gevent.sleep(STALL_S)
    reading = reader.read()
    assert reading.data == b"" and reading.earliest_at <= closed_at


def test_a_close_that_arrived_just_before_a_pause_may_be_as_early_as_the_poll_before_that(connection):
    """Guards against closes that are dated too late if the event loop polls several times within a pause."""
    sender, reader = connection
    sender.sendall(b"a")
    sender.close()
    closed_at = time.monotonic()
    for _ in range(2):
        reader.pause()
        for _ in range(5):
            gevent.sleep(0.001)
        reading = reader.read()
    assert reading.data == b"" and reading.earliest_at <= closed_at


def test_an_attempt_that_was_given_up_before_its_engine_noticed_ended_then():
    run = RunRecord()
    engine = StubEngine("s0", "127.0.0.1", run, random.Random(1))
    engine.behaviour = Behaviour(work_s=0.0001, min_work_s=0.05)
    with socket.create_connection((engine.host, engine.port)) as proxy:
        proxy.sendall(b"REQ aa class=q,wait=1000 1\r\nx\r\n")
        gevent.sleep(0.02)
        proxy.sendall(b"STOP aa\r\n")
        given_up_at = time.monotonic()
        time.sleep(STALL_S)  # the engine's answer is due when it reads the STOP
        gevent.sleep(0.05)
    engine.stop()
    (attempt,) = run.attempts
    assert attempt.ended_earliest_at is not None and attempt.ended_earliest_at <= given_up_at


# Guards against two attempts in flight that are only seen because the stub was reset before it read a STOP.
def test_a_request_that_a_silent_engine_reads_after_its_reset_has_an_end_that_may_be_late():
    run = RunRecord()
    engine = StubEngine("s-1", "127.0.0.1", run, random.Random(1))
    engine.behaviour.silent = True
    with socket.create_connection((engine.host, engine.port)) as sock:
        sock.sendall(b"REQ 00000000000000aa class=safe,wait=900 8\r\nselect 1\r\n")
        gevent.sleep(0.1)
        sock.sendall(b"STOP 00000000000000aa\r\n")
        engine.reset_all()
    engine.behaviour = Behaviour(pages=3)
    gevent.sleep(0.1)
    engine.stop()
    (attempt,) = run.attempts
    assert attempt.end is not None and attempt.end_read_late
