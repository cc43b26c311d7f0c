"""Settings of the proxies in fault runs, as they stand in the configuration file."""

from __future__ import annotations

import random
from typing import Any

SAFE, KEYED, UNSAFE = "retryable", "dedup", "fragile"
CHAIN_CLASS = "chain"  # keyed queries that follow each other faster than engines answer them
MAX_COUNTED_DEADLINE_S = 3.0  # deadlines above this many seconds do not extend the time before SIGKILL
GRACE_AFTER_DEADLINE_S = 0.7  # seconds between the longest counted deadline and SIGKILL


def make_settings(
    deadline_s: float = 3.0,
    repeat_window_s: float = 1.0,
    proxies: int = 1,
    slow_start_s: float = 4.0,
    start_capacity: float = 0.3,
    slow_start_multiple: float = 4.0,
    slow_start_window_s: float = 1.0,
    drain_grace_s: float = 1.0,
) -> dict[str, Any]:
    """Return settings with one query class of each semantics.

    Queries of the class "keyed" that have the same key run one after another.
    """

    def us(seconds: float) -> int:
        return int(seconds * 1e6)

    def query_class(name: str, semantics: str, **overrides: Any) -> dict[str, Any]:
        base = {"goalTimeUs": us(deadline_s / 2), "deadlineUs": us(deadline_s), "worth": 1.0}
        return {"name": name, "semantics": semantics, **base, **overrides}

    return {
        "replicasOfMe": proxies,
        "position": 0,
        "areas": ["z"],
        "myZone": "z",
        "kinds": ["k"],
        "classes": [
            query_class("safe", SAFE),
            query_class("keyed", KEYED, repeatWindowUs=us(repeat_window_s), sequential=True, keyScope="all"),
            query_class("unsafe", UNSAFE),
            query_class(
                CHAIN_CLASS, KEYED, repeatWindowUs=us(repeat_window_s), sequential=True, keyScope="all"
            ),
        ],
        "bounds": {
            "maxAttempts": 4,
            "cancel": True,
            "retryAfter": True,
            "maxRetryAfterUs": 500_000,
            "dialTimeoutUs": 250_000,
            "keepaliveUs": 5_000_000,
        },
        "rules": {
            "answerSlackUs": 20_000,
            "drainGraceUs": us(drain_grace_s),
            "coldUs": us(slow_start_s),
            "startCapacity": start_capacity,
            "tipMultiple": slow_start_multiple,
            "tipAfterUs": us(slow_start_window_s),
        },
        "extra": {"kindCores": [8], "sizeMb": [16384], "parallelism": [1, 1, 1, 1]},
        "granularityUs": 5_000,
        "loadInfo": {"fields": ["cpu"], "how": "answers"},
    }


def draw_settings(rng: random.Random, proxies: int) -> dict[str, Any]:
    """Return settings with a random deadline, repeat window, drain grace time and slow start."""
    return make_settings(
        deadline_s=rng.choice((0.5, 0.8, 1.5, 3.0, 6.0, 20.0)),
        repeat_window_s=rng.choice((0.3, 0.8, 2.0)),
        proxies=proxies,
        slow_start_s=rng.choice((2.0, 4.0, 8.0)),
        start_capacity=rng.choice((0.2, 0.3, 0.5)),
        slow_start_multiple=rng.choice((2.5, 4.0)),
        slow_start_window_s=rng.choice((0.8, 1.5)),
        drain_grace_s=rng.choice((0.5, 1.0)),
    )


def longest_deadline_s(settings: dict[str, Any]) -> float:
    """Return the longest deadline of all query classes, in seconds."""
    return max(query_class["deadlineUs"] for query_class in settings["classes"]) / 1e6


def shutdown_grace_s(settings: dict[str, Any]) -> float:
    """Return how many seconds after SIGTERM the platform sends SIGKILL at the earliest."""
    return min(longest_deadline_s(settings), MAX_COUNTED_DEADLINE_S) + GRACE_AFTER_DEADLINE_S
