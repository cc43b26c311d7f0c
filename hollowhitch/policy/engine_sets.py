"""Sets of engines from which a few are chosen in time that does not grow with the set."""

from __future__ import annotations

import random
import zlib
from collections.abc import Hashable, Iterable, Iterator
from typing import Generic, Protocol, TypeVar

from hollowhitch.policy.records import EngineRecord

Member = TypeVar("Member", bound=Hashable)

HASH_RANGE = 2**32  # number of values of `data_set_hash`


class IndexedSet(Generic[Member]):
    """A set with numbered members. Until one is discarded, they are in the order in which they were added."""

    def __init__(self, members: Iterable[Member] = ()) -> None:
        self._members: list[Member] = list(dict.fromkeys(members))
        self._positions: dict[Member, int] = {member: n for n, member in enumerate(self._members)}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, member: object) -> bool:
        return member in self._positions

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members)

    def add(self, member: Member) -> None:
        """Add a member, unless it is in the set."""
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: Member) -> None:
        """Remove a member, if it is in the set; the last one takes its place."""
        position = self._positions.pop(member, None)
        if position is None:
            return
        last = self._members.pop()
        if last is not member:
            self._members[position] = last
            self._positions[last] = position

    def choose(self, rng: random.Random) -> Member:
        """Return a random member. Raise IndexError if there is none."""
        return rng.choice(self._members)

    def in_random_order(self, rng: random.Random, most: int) -> Iterator[Member]:
        """Yield up to `most` members in random order. The set must not change meanwhile."""
        # A shuffle (Fisher-Yates) that is carried out as far as it is needed, and notes only what it moved.
        members, moved = self._members, {}
        size, draw = len(members), rng.random
        for n in range(min(most, size)):
            drawn = n + int(draw() * (size - n))
            yield members[moved.get(drawn, drawn)]
            moved[drawn] = moved.get(n, n)

    def scan(self, rng: random.Random, most: int) -> Iterator[Member]:
        """Yield all members in order, or `most` of them in random order if there are more."""
        return iter(self._members) if len(self._members) <= most else self.in_random_order(rng, most)


class EngineChoices(Protocol):
    """Engines that a query may use, as `IndexedSet` describes."""

    def __contains__(self, engine: object) -> bool: ...

    def in_random_order(self, rng: random.Random, most: int) -> Iterator[EngineRecord]: ...

    def scan(self, rng: random.Random, most: int) -> Iterator[EngineRecord]: ...


class HashedHalf:
    """About half of a set of engines, those whose hash with a data set is low or high."""

    def __init__(self, engines: IndexedSet[EngineRecord], data_set: int, is_low_half: bool) -> None:
        self._engines, self._data_set, self._is_low_half = engines, data_set, is_low_half

    def __contains__(self, engine: object) -> bool:
        return engine in self._engines and self._is_in_half(engine)

    def _is_in_half(self, engine: EngineRecord) -> bool:
        return (data_set_hash(self._data_set, engine) < HASH_RANGE // 2) is self._is_low_half

    def in_random_order(self, rng: random.Random, most: int) -> Iterator[EngineRecord]:
        """Yield about `most` members in random order, fewer if there are not so many."""
        return filter(self._is_in_half, self._engines.in_random_order(rng, 2 * most))

    def scan(self, rng: random.Random, most: int) -> Iterator[EngineRecord]:
        """Yield about `most` members in random order."""
        return self.in_random_order(rng, most)


def data_set_hash(data_set: int, engine: EngineRecord) -> int:
    """Return a number below HASH_RANGE, on which all gateways agree."""
    return zlib.crc32(f"{data_set} {engine.info.id}".encode())
