"""Tests of real proxy processes: a request of an order key starts only when the one before it is over.

Clients, engines, operators and the command channel are the stubs of `faults`.
"""

from __future__ import annotations

import signal
from collections.abc import Callable

import gevent
import pytest

from faults.clients import ClientConnection, new_ref, new_replay
from faults.engines import Behaviour
from faults.harness import Harness, wait_for
from faults.operators import Operator
from faults.records import AnswerCode, AttemptEnd, RequestRecord

DEADLINE_S = 20.0
CHAIN_LENGTH, CHAIN_COUNT = 8, 4
MIN_COMPLETED = 2 * CHAIN_COUNT  # number of requests that have to be answered, so that a run shows anything
STEADY = Behaviour(work_s=0.03, min_work_s=0.25)
# Seconds by which the harness may read two events of different sockets in the wrong order.
READ_ORDER_ERROR_S = 0.01
MAX_ANSWER_DELAY_S = 0.02  # seconds from an engine's answer until the client has it
LARGE_RESULT = Behaviour(work_s=0.001, pages=8, page_bytes=5900)
HANGING = Behaviour(hang_share=1.0)
MAX_UNREAD_ANSWERS = 400  # more than the buffers of a connection and the proxy's queue hold


def keep_serving(harness: Harness) -> None:
    """Leave the proxy as it is."""


def stop(harness: Harness) -> None:
    """Send SIGTERM to the proxy."""
    harness.proxies[0].send_signal(signal.SIGTERM)


def drain(harness: Harness) -> None:
    """Order the proxy to drain."""
    Operator(harness.run).drain(harness.proxies[0])


STAGES = pytest.mark.parametrize("begin_stage", [keep_serving, drain, stop])


def set_behaviour(harness: Harness, behaviour: Behaviour) -> None:
    for engine in harness.engines:
        engine.behaviour = behaviour


def send_keyed(harness: Harness, client: ClientConnection, key: str) -> RequestRecord:
    record = client.request(
        new_ref(harness.rng), "keyed", DEADLINE_S, replay=new_replay(harness.rng), key=key
    )
    assert record is not None
    return record


def start_chains(harness: Harness, has_open_request: bool) -> list[list[RequestRecord]]:
    """Send chains of requests with one key each, each chain on a connection of its own."""
    clients = [harness.connect(harness.proxies[0]) for _ in range(CHAIN_COUNT)]
    if has_open_request:
        set_behaviour(harness, HANGING)
        for client in clients:
            client.request(new_ref(harness.rng), "unsafe", DEADLINE_S)
        assert wait_for(lambda: len(harness.run.attempts) == CHAIN_COUNT)
    set_behaviour(harness, STEADY)
    return [
        [send_keyed(harness, client, f"key-{number}") for _ in range(CHAIN_LENGTH)]
        for number, client in enumerate(clients)
    ]


def fill_send_queue(harness: Harness, client: ClientConnection) -> str:
    """Send keyed requests until the proxy refuses one because this client does not read.

    Return the key of the last one that was served. Its answer waits in the proxy, behind others.
    """
    for number in range(MAX_UNREAD_ANSWERS):
        record = send_keyed(harness, client, f"silent-{number}")
        if not wait_for(lambda ref=record.ref: was_served(harness, ref), 0.5):
            return f"silent-{number - 1}"
    raise AssertionError("the proxy never refused a request of a client that does not read")


def was_served(harness: Harness, ref: str) -> bool:
    return any(a.ref == ref and a.end is AttemptEnd.SERVED for a in harness.run.attempts)


def wait_for_chains(harness: Harness, chains: list[list[RequestRecord]]) -> None:
    records = [record for chain in chains for record in chain]
    assert wait_for(lambda: all(r.answers or r.connection_ended_at is not None for r in records), 10.0)
    assert sum(bool(record.answers) for record in records) >= MIN_COMPLETED


def first_byte_times(harness: Harness) -> dict[str, float]:
    """Return when the first attempt of each request reached an engine, by ref."""
    times: dict[str, float] = {}
    for attempt in harness.run.attempts:
        times.setdefault(attempt.ref, attempt.first_byte_at)
    return times


@STAGES
@pytest.mark.parametrize("has_open_request", [False, True], ids=["chain-alone", "beside-an-open-request"])
def test_next_request_of_a_key_does_not_start_before_the_client_has_the_answer_before_it(
    make_harness: Callable[..., Harness], begin_stage: Callable[[Harness], None], has_open_request: bool
):
    harness = make_harness(engines=4, deadline_s=DEADLINE_S)
    chains = start_chains(harness, has_open_request)
    gevent.sleep(0.1)
    begin_stage(harness)
    wait_for_chains(harness, chains)
    started_at = first_byte_times(harness)
    leads = [
        earlier.answers[0].received_at - started_at[later.ref]
        for chain in chains
        for earlier, later in zip(chain, chain[1:], strict=False)
        if earlier.answers and later.ref in started_at
    ]
    assert max(leads) <= READ_ORDER_ERROR_S


@STAGES
def test_an_answer_is_written_at_once_in_every_stage_of_a_connection(
    make_harness: Callable[..., Harness], begin_stage: Callable[[Harness], None]
):
    harness = make_harness(engines=4, deadline_s=DEADLINE_S)
    chains = start_chains(harness, has_open_request=True)
    gevent.sleep(0.1)
    begin_stage(harness)
    wait_for_chains(harness, chains)
    answered = {r.ref: r.answers[0].received_at for chain in chains for r in chain if r.answers}
    delays = [
        answered[attempt.ref] - attempt.ended_at
        for attempt in harness.run.attempts
        if attempt.ref in answered and attempt.ended_at is not None
    ]
    assert len(delays) >= MIN_COMPLETED
    assert max(delays) <= MAX_ANSWER_DELAY_S


@STAGES
def test_next_request_of_a_key_waits_while_the_client_does_not_read_the_answer_before_it(
    make_harness: Callable[..., Harness], begin_stage: Callable[[Harness], None]
):
    harness = make_harness(engines=4, deadline_s=DEADLINE_S)
    set_behaviour(harness, LARGE_RESULT)
    proxy = harness.proxies[0]
    silent_client = harness.connect(proxy, receive_buffer_bytes=4096)
    silent_client.stop_reading()
    key = fill_send_queue(harness, silent_client)
    set_behaviour(harness, Behaviour())
    begin_stage(harness)
    later = send_keyed(harness, harness.connect(proxy), key)
    other = send_keyed(harness, harness.connect(proxy), "another key")
    assert wait_for(lambda: other.answers)
    gevent.sleep(0.3)
    assert other.answers[0].code is AnswerCode.SERVED
    assert later.ref not in first_byte_times(harness)


def test_a_client_that_cancels_lets_the_next_request_of_its_key_start(make_harness: Callable[..., Harness]):
    harness = make_harness(engines=2, deadline_s=DEADLINE_S)
    set_behaviour(harness, HANGING)
    client = harness.connect(harness.proxies[0])
    earlier = send_keyed(harness, client, "key")
    assert wait_for(lambda: harness.run.attempts)
    set_behaviour(harness, Behaviour())
    later = send_keyed(harness, harness.connect(harness.proxies[0]), "key")
    client.cancel(earlier)
    assert wait_for(lambda: later.answers, 3.0)
