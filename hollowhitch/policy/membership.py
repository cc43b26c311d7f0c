"""Engines that may be used: those in the lists, except those that an operator has disabled.

An engine whose address another one has taken counts as gone, although lists may still name it.

An order to disable an engine stays in force until the order to enable it, whatever lists say in between. A
disabled engine may restart unnoticed. So it counts as started when it is enabled, unless a list has reported
a start after it was disabled.

Nothing here does I/O; times are microseconds on the proxy's clock, passed in by the caller.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from hollowhitch.policy.address_owners import Address, AddressOwners
from hollowhitch.policy.interface import Engine, EngineList, EngineState, ListKind

MAX_ENGINES = 16_384  # number of engines above which those that are gone are forgotten


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """A list of engines with the operators' orders applied, and the addresses of engines by id."""

    engines: EngineList
    addresses: Mapping[str, Address]


class Membership:
    """The engines as last listed, and which of them an operator has disabled."""

    def __init__(self) -> None:
        self._listed_engines: dict[str, Engine] = {}
        self._address_owners = AddressOwners()
        self._addresses: dict[str, Address] = {}
        self._disabled_at_us: dict[str, int] = {}
        self._latest_start_at_us: dict[str, int] = {}  # of engines that were disabled and enabled
        self._gone_ids: OrderedDict[str, None] = OrderedDict()  # the one that has gone for longest first

    def is_disabled(self, engine_id: str) -> bool:
        """Return whether an operator has disabled an engine."""
        return engine_id in self._disabled_at_us

    def apply(self, engines: EngineList, addresses: Mapping[str, Address]) -> ListUpdate:
        """Record a list, whose start times are on the proxy's clock; return it with the orders applied."""
        if engines.kind not in (ListKind.DELTA, ListKind.FAILED):
            self._mark_unlisted_gone(engines)
        for engine in engines.engines:
            self._listed_engines[engine.id] = engine
            self._gone_ids.pop(engine.id, None)
            if engine.state is EngineState.GONE:
                self._gone_ids[engine.id] = None
        self._addresses.update(addresses)
        displaced_ids = self._address_owners.apply(engines, addresses)
        self._forget_gone()
        listed_ids = [engine.id for engine in engines.engines]
        changed_ids = dict.fromkeys([*listed_ids, *displaced_ids])
        usable = tuple(self._usable(self._listed_engines[engine_id]) for engine_id in changed_ids)
        return ListUpdate(dataclasses.replace(engines, engines=usable), addresses)

    def disable(self, engine_id: str, now_us: int) -> ListUpdate | None:
        """Disable an engine; return the change to apply, or None for an id that no list has named.

        Disabling an engine again changes nothing: the time of the first order counts.
        """
        if engine_id not in self._listed_engines:
            return None
        self._disabled_at_us.setdefault(engine_id, now_us)
        return self._update_for(engine_id)

    def enable(self, engine_id: str, now_us: int) -> ListUpdate | None:
        """Enable an engine; return the change to apply, or None for an id that no list has named."""
        if engine_id not in self._listed_engines:
            return None
        disabled_at_us = self._disabled_at_us.pop(engine_id, None)
        if disabled_at_us is not None and self._listed_engines[engine_id].started_at_us <= disabled_at_us:
            self._latest_start_at_us[engine_id] = now_us
        return self._update_for(engine_id)

    def _update_for(self, engine_id: str) -> ListUpdate:
        usable = self._usable(self._listed_engines[engine_id])
        addresses = {engine_id: self._addresses[engine_id]} if engine_id in self._addresses else {}
        return ListUpdate(EngineList(ListKind.DELTA, (usable,)), addresses)

    def _usable(self, engine: Engine) -> Engine:
        """Return a listed engine with the operators' orders applied."""
        if self._address_owners.is_displaced(engine.id):
            return dataclasses.replace(engine, state=EngineState.GONE)
        if engine.id in self._disabled_at_us and engine.state is EngineState.READY:
            return dataclasses.replace(engine, state=EngineState.DRAINING)
        latest_start_at_us = self._latest_start_at_us.get(engine.id, 0)
        if latest_start_at_us > engine.latest_start_at_us:
            return dataclasses.replace(engine, latest_start_at_us=latest_start_at_us)
        return engine

    def _mark_unlisted_gone(self, engines: EngineList) -> None:
        """Mark the engines as gone that a complete list does not name."""
        listed_ids = {engine.id for engine in engines.engines}
        for engine_id in self._listed_engines.keys() - listed_ids - self._gone_ids.keys():
            self._listed_engines[engine_id] = dataclasses.replace(
                self._listed_engines[engine_id], state=EngineState.GONE
            )
            self._gone_ids[engine_id] = None
            self._address_owners.forget(engine_id)

    def _forget_gone(self) -> None:
        """Forget engines that are gone beyond MAX_ENGINES, first those that have gone for longest.

        Those that an operator has disabled are kept.
        """
        disabled_ids: list[str] = []
        while len(self._listed_engines) > MAX_ENGINES and self._gone_ids:
            engine_id, _ = self._gone_ids.popitem(last=False)
            if engine_id in self._disabled_at_us:
                disabled_ids.append(engine_id)
                continue
            del self._listed_engines[engine_id]
            self._addresses.pop(engine_id, None)
            self._address_owners.forget(engine_id)
            self._latest_start_at_us.pop(engine_id, None)
        for engine_id in disabled_ids:  # looked at again when they may have been enabled
            self._gone_ids[engine_id] = None
