"""Containers of the controller's state: bins, rolling sums, token buckets, a schedule of calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from hollowhitch.call_heap import CallHeap, DueCall


class EqualSumBins:
    """Four bins that divide the last `sample_size` values into ranges with equal sums.

    The bounds between the bins are computed again after every `update_interval` values.
    """

    def __init__(self, sample_size: int, update_interval: int) -> None:
        self.values: deque[float] = deque(maxlen=sample_size)
        # `bounds`: the lower bounds of all bins but the first.
        self.update_interval, self.seen_count, self.bounds = update_interval, 0, [0.0] * 3

    def add(self, value: float) -> int:
        """Add a value and return its bin, from 0 (the lowest values) to 3."""
        self.values.append(value)
        if self.seen_count % self.update_interval == 0:
            self.bounds = equal_sum_bounds(self.values, 4)
        self.seen_count += 1
        return sum(value >= b for b in self.bounds)


def equal_sum_bounds(values: Iterable[float], parts: int) -> list[float]:
    """Divide values into `parts` ranges with equal sums, and return the lower bounds of all but the first."""
    ordered = sorted(values)
    bounds: list[float] = []
    total, running_total = sum(ordered), 0.0
    for value in ordered:
        running_total += value
        while len(bounds) < parts - 1 and running_total >= total * (len(bounds) + 1) / parts:
            bounds.append(value)
    return bounds + [ordered[-1]] * (parts - 1 - len(bounds))


class RollingSum:
    """Sum of timed amounts over a rolling window, which may be at most `max_age_us` long."""

    def __init__(self, max_age_us: int) -> None:
        self.max_age_us = max_age_us
        self.entries: deque[tuple[int, float]] = deque()
        self.total = 0.0

    def add(self, now_us: int, amount: float = 1.0) -> None:
        """Add an amount at a time, which must not decrease between calls."""
        self.entries.append((now_us, amount))
        self.total += amount
        self.sum_since(now_us - self.max_age_us)  # bounds the memory if no rule ever reads the sum

    def sum_since(self, start_us: int) -> float:
        """Return the sum of the amounts since `start_us`, and drop the older ones.

        `start_us` must not decrease between calls.
        """
        while self.entries and self.entries[0][0] < start_us:
            self.total -= self.entries.popleft()[1]
        if not self.entries:
            self.total = 0.0
        return self.total


class TokenBucket:
    """Token bucket for a share of a rate, which starts with the tokens of one second, but at least one."""

    def __init__(self, rate_per_s: float, share: float) -> None:
        self.rate_per_s, self.share = rate_per_s, share
        self.tokens, self.updated_at_us = max(rate_per_s * share, 1.0), 0

    def try_take(self, now_us: int, burst_s: float) -> bool:
        """Take a token if there is one, and return whether there was.

        The capacity of the bucket is the tokens of `burst_s` seconds, but at least one.
        """
        rate_per_s = self.rate_per_s * self.share
        self.tokens = min(
            self.tokens + rate_per_s * (now_us - self.updated_at_us) / 1e6, max(rate_per_s * burst_s, 1.0)
        )
        self.updated_at_us = now_us
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Schedule(CallHeap):
    """Calls scheduled for given times in microseconds, in the order of these times and then of insertion."""

    def schedule(self, due_at_us: float, call: Callable[[Any], None], arg: Any) -> DueCall:
        """Schedule `call(arg)` for a time, which may be in the past, and return a handle to cancel it."""
        return self.add(int(due_at_us), partial(call, arg))

    def run_due(self, now_us: int) -> None:
        """Make all calls that are due, including those that the calls add."""
        while (callback := self.pop_due(now_us)) is not None:
            callback()
