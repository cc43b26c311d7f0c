"""Tests of engines that operators disable and enable, with lists in between."""

from __future__ import annotations

import pytest

from hollowhitch.policy import membership
from hollowhitch.policy.interface import EngineList, EngineState, ListKind
from hollowhitch.policy.membership import Membership
from tests.conftest import SECOND_US, make_engine

READY, DRAINING, GONE = EngineState.READY, EngineState.DRAINING, EngineState.GONE
ADDRESSES = {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 2)}


def make_list(kind: ListKind, *engines) -> EngineList:
    return EngineList(kind, engines)


@pytest.fixture
def members() -> Membership:
    new_members = Membership()
    new_members.apply(make_list(ListKind.FULL, make_engine("a"), make_engine("b")), ADDRESSES)
    return new_members


def states(update) -> dict[str, EngineState]:
    return {e.id: e.state for e in update.engines.engines}


def test_a_disabled_engine_drains_until_it_is_enabled(members):
    assert states(members.disable("a", 10 * SECOND_US)) == {"a": DRAINING}
    assert states(members.disable("a", 11 * SECOND_US)) == {"a": DRAINING} and members.is_disabled("a")
    update = members.enable("a", 12 * SECOND_US)
    assert states(update) == {"a": READY} and not members.is_disabled("a")
    assert update.addresses == {"a": ADDRESSES["a"]}


def test_an_engine_that_no_list_has_named_is_unknown(members):
    assert members.disable("c", SECOND_US) is None and members.enable("c", SECOND_US) is None


@pytest.mark.parametrize("kind", [ListKind.FULL, ListKind.DELTA, ListKind.CACHED])
def test_a_disabled_engine_stays_disabled_whatever_the_lists_say(members, kind):
    members.disable("a", 10 * SECOND_US)
    members.apply(make_list(ListKind.DELTA, make_engine("a", state=GONE)), {})
    update = members.apply(
        make_list(kind, make_engine("a", started_at_us=20 * SECOND_US), make_engine("b")), ADDRESSES
    )
    assert states(update) == {"a": DRAINING, "b": READY}
    assert states(members.enable("a", 30 * SECOND_US)) == {"a": READY}


def test_enabling_an_engine_that_is_gone_does_not_bring_it_back(members):
    members.disable("a", 10 * SECOND_US)
    members.apply(make_list(ListKind.FULL, make_engine("b")), ADDRESSES)
    assert states(members.enable("a", 20 * SECOND_US)) == {"a": GONE}


def test_an_enabled_engine_counts_as_just_started_unless_a_later_start_is_listed(members):
    members.disable("a", 10 * SECOND_US)
    (listed_engine,) = members.enable("a", 20 * SECOND_US).engines.engines
    assert listed_engine.latest_start_at_us == 20 * SECOND_US
    (listed_engine, _) = members.apply(
        make_list(ListKind.FULL, make_engine("a"), make_engine("b")), ADDRESSES
    ).engines.engines
    assert listed_engine.latest_start_at_us == 20 * SECOND_US
    members.disable("b", 10 * SECOND_US)
    members.apply(
        make_list(
            ListKind.DELTA, make_engine("b", started_at_us=15 * SECOND_US, latest_start_at_us=16 * SECOND_US)
        ),
        ADDRESSES,
    )
    (listed_engine,) = members.enable("b", 20 * SECOND_US).engines.engines
    assert listed_engine.latest_start_at_us == 16 * SECOND_US


def test_enabling_an_engine_that_is_not_disabled_changes_nothing(members):
    (listed_engine,) = members.enable("a", 20 * SECOND_US).engines.engines
    assert listed_engine == make_engine("a")


def test_above_the_maximum_engines_that_are_gone_are_forgotten_unless_disabled(members, monkeypatch):
    monkeypatch.setattr(membership, "MAX_ENGINES", 4)
    members.disable("a", SECOND_US)
    members.apply(make_list(ListKind.FULL, *(make_engine(f"e{i}") for i in range(4))), {})
    members.apply(make_list(ListKind.FULL, *(make_engine(f"f{i}") for i in range(3))), {})
    assert members.disable("e0", SECOND_US) is None
    assert members.enable("a", SECOND_US) is not None


NEW_AT_A = {"new": ADDRESSES["a"]}


# Guards against work that is sent to a new engine at the address of one that the lists still name.
def test_an_engine_whose_address_another_one_has_taken_is_gone(members):
    update = members.apply(make_list(ListKind.DELTA, make_engine("new")), NEW_AT_A)
    assert states(update) == {"new": READY, "a": GONE}
    still_listed = members.apply(make_list(ListKind.DELTA, make_engine("a")), {"a": ADDRESSES["a"]})
    assert states(still_listed) == {"a": GONE}
    full = make_list(ListKind.FULL, make_engine("a"), make_engine("b"), make_engine("new"))
    assert states(members.apply(full, {**ADDRESSES, **NEW_AT_A})) == {"a": GONE, "b": READY, "new": READY}


def test_an_engine_with_a_new_address_or_the_only_one_at_its_old_address_is_used_again(members):
    members.apply(make_list(ListKind.DELTA, make_engine("new")), NEW_AT_A)
    moved = members.apply(make_list(ListKind.DELTA, make_engine("a")), {"a": ("127.0.0.1", 3)})
    assert states(moved) == {"a": READY}
    members.apply(make_list(ListKind.DELTA, make_engine("new", state=GONE)), {})
    back = members.apply(make_list(ListKind.DELTA, make_engine("a")), {"a": ADDRESSES["a"]})
    assert states(back) == {"a": READY}


@pytest.mark.parametrize("ids", [("old", "new"), ("new", "old")])
def test_of_two_engines_at_one_address_in_one_list_the_one_that_started_last_is_used(ids):
    started = {"old": 0, "new": 5 * SECOND_US}
    engines = [make_engine(engine_id, started_at_us=started[engine_id]) for engine_id in ids]
    update = Membership().apply(make_list(ListKind.FULL, *engines), dict.fromkeys(ids, ("127.0.0.1", 1)))
    assert states(update) == {"old": GONE, "new": READY}


def test_engines_that_share_an_address_from_the_start_are_all_used_and_forgotten():
    shared = dict.fromkeys(("a", "b"), ("127.0.0.1", 1))
    new_members = Membership()
    update = new_members.apply(make_list(ListKind.FULL, make_engine("a"), make_engine("b")), shared)
    assert states(update) == {"a": READY, "b": READY}
    new_members.apply(make_list(ListKind.FULL, make_engine("new")), {"new": ("127.0.0.1", 1)})
    gone = make_list(ListKind.DELTA, make_engine("a", state=GONE), make_engine("new", state=GONE))
    assert states(new_members.apply(gone, {})) == {"a": GONE, "new": GONE}
