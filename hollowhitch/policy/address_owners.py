"""Which engine each address belongs to.

A new engine may come up at the address of one that has gone, before a list says that the older one has gone.
Connections to the address lead to the new engine then, whichever id they were meant for.
"""

from __future__ import annotations

from collections.abc import Mapping

from hollowhitch.policy.interface import Engine, EngineList, EngineState

Address = tuple[str, int]


class AddressOwners:
    """The engine that was last announced at each address. Engines without an address own none."""

    def __init__(self) -> None:
        self._owners: dict[Address, Engine] = {}
        self._addresses: dict[str, Address] = {}  # by engine id, as last listed

    def is_displaced(self, engine_id: str) -> bool:
        """Return whether another engine was announced at the engine's address after it."""
        address = self._addresses.get(engine_id)
        owner = self._owners.get(address) if address is not None else None
        return owner is not None and owner.id != engine_id

    def apply(self, engines: EngineList, addresses: Mapping[str, Address]) -> list[str]:
        """Apply a list of engines, and return the ids of those that lose their address to another one."""
        listed_ids = {engine.id for engine in engines.engines}
        displaced_ids = []
        for engine in engines.engines:
            if engine.state is EngineState.GONE:
                self.forget(engine.id)
            elif engine.id in addresses:
                displaced_ids += self._announce(engine, addresses[engine.id], listed_ids)
        return displaced_ids

    def forget(self, engine_id: str) -> None:
        """Forget an engine that has gone."""
        address = self._addresses.pop(engine_id, None)
        if address is not None and self._owners[address].id == engine_id:
            del self._owners[address]

    def _announce(self, engine: Engine, address: Address, listed_ids: set[str]) -> list[str]:
        is_new_here = self._addresses.get(engine.id) != address
        if is_new_here:
            self.forget(engine.id)
        self._addresses[engine.id] = address
        owner = self._owners.get(address)
        if owner is not None and owner.id != engine.id:
            # Within one list, the engine that started last is the one that is there now.
            is_newer_news = is_new_here and owner.id not in listed_ids
            if not is_newer_news and engine.started_at_us <= owner.started_at_us:
                return []
        self._owners[address] = engine
        return [owner.id] if owner is not None and owner.id != engine.id else []
