"""Settings objects for fault runs, as the deployment words them."""

from __future__ import annotations

import random
from typing import Any

SAFE, KEYED, UNSAFE = "retryable", "dedup", "fragile"
LONGEST_COUNTED_S = 3.0  # a longer deadline counts as this in the grace after SIGTERM
AFTER_LONGEST_S = 0.7


def make_settings(
    deadline_s: float = 3.0,
    repeat_window_s: float = 1.0,
    proxies: int = 1,
    cold_s: float = 4.0,
    start_capacity: float = 0.3,
    tip_multiple: float = 4.0,
    tip_after_s: float = 1.0,
    drain_grace_s: float = 1.0,
) -> dict[str, Any]:
    """Three classes, one of each effect; the keyed one keeps the order of its keys."""

    def us(seconds: float) -> int:
        return int(seconds * 1e6)

    def query_class(name: str, semantics: str, **more: Any) -> dict[str, Any]:
        base = {"goalTimeUs": us(deadline_s / 2), "deadlineUs": us(deadline_s), "worth": 1.0}
        return {"name": name, "semantics": semantics, **base, **more}

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
            "coldUs": us(cold_s),
            "startCapacity": start_capacity,
            "tipMultiple": tip_multiple,
            "tipAfterUs": us(tip_after_s),
        },
        "extra": {"kindCores": [8], "sizeMb": [16384], "parallelism": [1, 1, 1]},
        "granularityUs": 5_000,
        "loadInfo": {"fields": ["cpu"], "how": "answers"},
    }


def draw_settings(rng: random.Random, proxies: int) -> dict[str, Any]:
    """Deadlines from 0.5 to 20 s, and windows, graces and cold starts to go with them."""
    return make_settings(
        deadline_s=rng.choice((0.5, 0.8, 1.5, 3.0, 6.0, 20.0)),
        repeat_window_s=rng.choice((0.3, 0.8, 2.0)),
        proxies=proxies,
        cold_s=rng.choice((2.0, 4.0, 8.0)),
        start_capacity=rng.choice((0.2, 0.3, 0.5)),
        tip_multiple=rng.choice((2.5, 4.0)),
        tip_after_s=rng.choice((0.8, 1.5)),
        drain_grace_s=rng.choice((0.5, 1.0)),
    )


def longest_deadline_s(settings: dict[str, Any]) -> float:
    return max(row["deadlineUs"] for row in settings["classes"]) / 1e6


def grace_s(settings: dict[str, Any]) -> float:
    """Seconds after SIGTERM at which SIGKILL may come at the earliest."""
    return min(longest_deadline_s(settings), LONGEST_COUNTED_S) + AFTER_LONGEST_S
