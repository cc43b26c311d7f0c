"""Real processes, and a new engine process at the address of one that has gone."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from typing import Any

import gevent
import pytest

from faults.channel import Member
from faults.engines import StubEngine
from faults.harness import Harness, wait_for
from faults.settings import make_settings
from tests.fault_fixtures import NewHarness

StartHarness = Callable[..., Harness]


def make_scoped_settings(**class_changes: Any) -> dict[str, Any]:
    """Return settings with two zones, and changes to all classes."""
    settings = make_settings(repeat_window_s=5.0)
    settings["areas"] = ["y", "z"]
    for query_class in settings["classes"]:
        query_class.update(class_changes)
    return settings


@pytest.fixture
def start(new_harness: NewHarness) -> StartHarness:
    """Provide a function that starts one proxy with stub engines, by default one."""

    def start_harness(engines: int = 1, **class_changes: Any) -> Harness:
        harness = new_harness(make_scoped_settings(**class_changes), engines)
        harness.start()
        return harness

    return start_harness


def announce_another_engine_there(harness: Harness, engine: StubEngine) -> None:
    """Announce a new engine at the address of an engine, in another zone and cell."""
    harness.channel.announce(Member(engine, name=f"new-{engine.name}", zone="y", cell=7))
    gevent.sleep(0.3)


# Guards against work that goes to a new engine of the wrong zone, because it has the address of an older one.
def test_work_for_an_engine_does_not_go_to_another_one_at_its_address(start):
    harness = start(areasOnly=["z"])
    client = harness.connect(harness.proxies[0])
    client.request(secrets.token_hex(8), "safe", 3.0)
    assert wait_for(lambda: len(harness.run.attempts) == 1)
    announce_another_engine_there(harness, harness.engines[0])
    client.request(secrets.token_hex(8), "safe", 1.0)
    gevent.sleep(1.5)
    assert len(harness.run.attempts) == 1


# Guards against a load that runs twice, at a new engine of another group at the address of an older one.
def test_a_load_is_not_repeated_at_another_engine_at_the_same_address(start):
    harness = start(engines=3, keyScope="cell")
    for engine in harness.engines:
        engine.behaviour.hang_share = 1.0
    client = harness.connect(harness.proxies[0])
    client.request(secrets.token_hex(8), "keyed", 3.0, replay=secrets.token_hex(16))
    assert wait_for(lambda: len(harness.run.attempts) == 1)
    first_name = harness.run.attempts[0].engine
    for engine in harness.engines:
        if engine.name != first_name:
            announce_another_engine_there(harness, engine)
    next(engine for engine in harness.engines if engine.name == first_name).reset_all()
    gevent.sleep(1.5)
    assert len(harness.run.attempts) == 1
