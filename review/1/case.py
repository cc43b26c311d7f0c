"""A database crashes under loads, and connections to another one come up late: no load may run twice."""

from __future__ import annotations

import asyncio
import secrets
import time

from common.bench import Attempt, Bench, LateDatabase, Request, data_answer, main, make_settings

WINDOW_S = 12.0  # for which databases drop a repeat, counted from the first attempt
SLACK_S = 0.05  # each time limit is 50 ms longer on sockets
LOADS, INTERVAL_S = 12, 0.2
CRASH_S = 11.9  # from the first load to the crash of its database
JOIN_S = 4.0  # from the first load until the other database is announced
LATE_UP_TO_S = 1.5  # connections come up late by up to this time


async def run(bench: Bench) -> bool:
    """Let a database crash shortly before the window of its loads ends, and count how often each load ran."""
    first_runs: dict[str, float] = {}  # when a database ran a load first, by idempotency key
    second_runs: dict[str, float] = {}

    async def behave(attempt: Attempt) -> bytes | None:
        """Run a load, unless it is a repeat within the window, which all databases drop."""
        once, now = attempt.values["once"], time.monotonic()
        first_at = first_runs.setdefault(once, now)
        if now - first_at <= WINDOW_S + SLACK_S and first_at != now:
            bench.record(attempt.database.name, "dropped a repeat", once=once)
        else:
            bench.record(attempt.database.name, "runs a load", once=once)
            if first_at != now:
                second_runs[once] = now - first_at
            await asyncio.sleep(20.0 if attempt.database is bench.databases[0] else 1.0)
        return data_answer(attempt)

    settings = make_settings(dialTimeoutUs=int(LATE_UP_TO_S * 1_000_000))
    settings["classes"][2].update(goalTimeUs=4_000_000, aimStretch=2.5)
    proxy = await bench.start(settings, 1, behave)
    other = LateDatabase("db1", bench.record, behave)
    await other.start()
    bench.databases.append(other)
    client = await bench.client("client", proxy)
    await asyncio.sleep(0.5)
    started_at = time.monotonic()

    async def wait_until(after_s: float) -> None:
        await asyncio.sleep(max(started_at + after_s - time.monotonic(), 0.0))

    requests: list[Request] = []
    for number in range(LOADS):
        await wait_until(number * INTERVAL_S)
        more = {"lookup": secrets.token_hex(8), "replay": secrets.token_hex(16), "effort": "12000.0"}
        requests.append(await client.send("load", 20.0, **more))
    await wait_until(JOIN_S)
    bench.channel.tell(other.member())
    await wait_until(CRASH_S - 0.3)
    if bench.trouble:
        await other.hold_back()
    await wait_until(CRASH_S)
    bench.databases[0].crash()
    if bench.trouble:
        await wait_until(CRASH_S + 0.8)
        other.go_on()
    await wait_until(25.0)
    for once, age_s in second_runs.items():
        bench.record("check", "ran twice", once=once, second_after_s=f"{age_s:.3f}")
    for request in requests:
        bench.record("check", "load", ref=request.ref, outcome=request.outcome())
    bench.record("check", "results", loads=len(requests), ran_twice=len(second_runs))
    return not second_runs


if __name__ == "__main__":
    main(__file__, run)
