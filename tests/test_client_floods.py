"""Usual clients beside floods from several processes at once, which write ready-made frames at full speed."""

from __future__ import annotations

import pytest

from faults.channel import Member
from faults.flood_trial import run_trial
from faults.harness import Harness
from faults.peer_flood import start_peer_flood

FLOOD_S = 3.0
MAX_LATENESS_S = 0.1  # how much later than its time an answer may come
MIN_SERVED_SHARE = 0.95
MEMORY_MB = 32
GRACE_S = 3.7  # from SIGTERM to SIGKILL, with the deadlines of these settings
MIN_EXIT_MARGIN_S = 0.2  # before SIGKILL


def check(folder, kinds: list[str], count: int) -> None:
    result = run_trial(folder, kinds, count, FLOOD_S, MEMORY_MB)
    assert all(flood.was_held_back for flood in result.floods)
    assert not result.lost(), result.describe()
    assert result.latest_s() <= MAX_LATENESS_S, result.describe()
    assert result.served_share() >= MIN_SERVED_SHARE, result.describe()
    assert result.peak_memory_mb <= MEMORY_MB


# Guards against answers that come late while several clients send requests and take them back at full speed.
@pytest.mark.parametrize("kind", ["taken-back", "taken-back-new-names", "taken-back-new-keys"])
def test_answers_are_in_time_beside_eight_floods_that_are_taken_back(tmp_path, kind):
    check(tmp_path, [kind], 8)


# Guards against a shutdown that loses requests, or comes close to the kill, while clients flood the process.
@pytest.mark.parametrize("kind", ["taken-back", "taken-back-large"])
def test_a_process_ends_well_before_the_kill_beside_floods(tmp_path, kind):
    result = run_trial(tmp_path, [kind], 8, FLOOD_S + GRACE_S, terminate_after_s=2.0)
    assert not result.lost() and result.served_share() >= MIN_SERVED_SHARE, result.describe()
    assert result.shutdown_s <= GRACE_S - MIN_EXIT_MARGIN_S, result.describe()


# Guards against requests on new connections that are lost while others connect thousands of times a second.
@pytest.mark.parametrize(
    "kinds", [["connects"], ["impossible-length"], ["taken-back-large", "impossible-length"]]
)
def test_requests_on_new_connections_are_served_beside_floods_of_new_connections(tmp_path, kinds):
    result = run_trial(tmp_path, kinds, 8, FLOOD_S, MEMORY_MB, reconnects=True)
    assert not [violation for violation in result.violations if violation.rule == "deadline"]
    assert not result.lost() and result.served_share() >= MIN_SERVED_SHARE, result.describe()
    assert result.peak_memory_mb <= MEMORY_MB


# Guards against answers that come late because one engine sends answers at full speed that nobody waits for.
def test_answers_are_in_time_beside_an_engine_that_floods(tmp_path):
    peer = start_peer_flood("answers", "s-flooding", "127.0.2.1")
    try:
        result = run_trial(
            tmp_path, [], 0, FLOOD_S, prepare=lambda harness: harness.channel.announce(Member(peer))
        )
    finally:
        peer.stop()
    assert not result.lost(), result.describe()
    assert result.latest_s() <= MAX_LATENESS_S, result.describe()


# Guards against answers that come late because the channel sends comments at full speed.
def test_answers_are_in_time_beside_a_channel_that_floods(tmp_path):
    peer = start_peer_flood("comments", "channel", "127.0.2.2")

    def follow_flood(harness: Harness) -> None:
        harness.channel.address = f"{peer.host}:{peer.port}"
        harness.configure_all()

    try:
        result = run_trial(tmp_path, [], 0, FLOOD_S, prepare=follow_flood)
    finally:
        peer.stop()
    assert not result.lost(), result.describe()
    assert result.latest_s() <= MAX_LATENESS_S, result.describe()
    assert result.served_share() >= MIN_SERVED_SHARE, result.describe()
