"""Which engine each address belongs to.

A new engine may come up at the address of one that has gone, before a list says that the older one has gone.
Connections to the address lead to the new engine then, whichever id they were meant for.
"""

from __future__ import annotations

from collections.abc import Mapping

from hollowhitch.policy.interface import Engine, EngineList, EngineState

Address = tuple[str, int]


class AddressOwners:
    """The engines that were announced last at each address. Engines without an address own none.

    Several engines of one list may share an address, unless one of them is known to have started later.
    """

    def __init__(self) -> None:
        self._owners: dict[Address, dict[str, Engine]] = {}  # by address and engine id
        self._addresses: dict[str, Address] = {}  # by engine id, as last listed

    def is_displaced(self, engine_id: str) -> bool:
        """Return whether another engine was announced at the engine's address after it."""
        address = self._addresses.get(engine_id)
        return address is not None and engine_id not in self._owners.get(address, {})

    def apply(self, engines: EngineList, addresses: Mapping[str, Address]) -> list[str]:
        """Apply a list of engines, and return the ids of those that lose their address to another one."""
        listed_ids = {engine.id for engine in engines.engines}
        displaced_ids: list[str] = []
        for engine in engines.engines:
            if engine.state is EngineState.GONE:
                self.forget(engine.id)
            elif engine.id in addresses:
                displaced_ids += self._announce(engine, addresses[engine.id], listed_ids)
        return displaced_ids

    def forget(self, engine_id: str) -> None:
        """Forget an engine that has gone."""
        address = self._addresses.pop(engine_id, None)
        if address is None:
            return
        owners = self._owners.get(address, {})
        owners.pop(engine_id, None)
        if not owners:
            self._owners.pop(address, None)

    def _announce(self, engine: Engine, address: Address, listed_ids: set[str]) -> list[str]:
        is_new_here = self._addresses.get(engine.id) != address
        if is_new_here:
            self.forget(engine.id)
        self._addresses[engine.id] = address
        owners = self._owners.setdefault(address, {})
        others = [owner for owner in owners.values() if owner.id != engine.id]
        if any(owner.started_at_us > engine.started_at_us for owner in others if owner.id in listed_ids):
            return []
        if not is_new_here and engine.id not in owners and others:  # displaced by an earlier list
            return []
        displaced_ids = [
            owner.id
            for owner in others
            if (is_new_here and owner.id not in listed_ids) or owner.started_at_us < engine.started_at_us
        ]
        for engine_id in displaced_ids:
            del owners[engine_id]
        owners[engine.id] = engine
        return displaced_ids
