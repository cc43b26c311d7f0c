"""Tests of the closing of a client connection, without sockets."""

from __future__ import annotations

import pytest

from hollowhitch.lifecycle import ConnectionStage
from hollowhitch.net.connection_closing import CloseReason, ConnectionClosing, PendingInput

NOTHING_PENDING = PendingInput(0, 0, 0, False)


def test_an_open_connection_is_not_shut():
    assert not ConnectionClosing().may_shut_write_side(NOTHING_PENDING)


@pytest.mark.parametrize(
    ("pending", "expected"),
    [
        (NOTHING_PENDING, True),
        (PendingInput(1, 0, 0, False), False),
        (PendingInput(0, 4, 0, False), False),
        (PendingInput(0, 0, 4, False), False),
        (PendingInput(0, 4, 4, True), True),  # bytes after an invalid frame need no answer
        (PendingInput(1, 4, 4, True), False),
    ],
)
def test_the_write_side_is_shut_only_when_nothing_that_needs_an_answer_is_pending(pending, expected):
    closing = ConnectionClosing()
    assert closing.apply_stage(ConnectionStage.CLOSE_WHEN_IDLE)
    assert closing.may_shut_write_side(pending) is expected


def test_an_undone_drain_keeps_the_connection_open_and_a_requested_close_cannot_be_undone():
    closing = ConnectionClosing()
    closing.apply_stage(ConnectionStage.CLOSE_WHEN_IDLE)
    closing.apply_stage(ConnectionStage.SERVE)
    assert not closing.may_shut_write_side(NOTHING_PENDING)
    assert closing.request(CloseReason.IDLE) and not closing.request(CloseReason.IDLE)
    assert not closing.apply_stage(ConnectionStage.CLOSE_WHEN_IDLE)
    closing.apply_stage(ConnectionStage.SERVE)
    assert closing.may_shut_write_side(NOTHING_PENDING)


def test_the_write_side_is_shut_once():
    closing = ConnectionClosing()
    closing.request(CloseReason.IDLE)
    closing.is_write_shut = True
    assert not closing.may_shut_write_side(NOTHING_PENDING)
