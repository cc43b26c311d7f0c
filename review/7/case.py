"""A release replaces six in ten of 3,200 databases within 7 s, while clients send some requests."""

from __future__ import annotations

import asyncio
import random
import resource
import time
from collections import Counter
from pathlib import Path

from review.second.rig import (
    TROUBLE,
    Asked,
    CannotRun,
    Channel,
    Client,
    Database,
    Proxy,
    Record,
    main,
    member,
    settings,
)

DATABASES, REPLACED_SHARE, RELEASE_S = 3_200, 0.6, 7.0
PROXIES = 200  # in the settings; one of them is started
REQUESTS_PER_S, CLIENTS = 15.0, 10
GIVE_UP_S = 2.5  # give-up time of the class, over all tries of a request
TRIES, LEAST_ALLOW_S = 3, 0.15
CALM_S, AFTER_S, LAST_ANSWERS_S = 2.0, 18.0, 4.0
# A final answer that comes later than this after the request's time is lost: half a second, the settings'
# `answerSlackUs` and 50 ms for time limits on sockets.
LATE_S = 0.5 + 0.02 + 0.05
LAG_INTERVAL_S = 0.01


class Lag:
    """Longest delay of the stand-ins' own event loop, by which an answer may be dated too late."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def watch(self) -> None:
        """Measure until the case ends."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL_S)
            self.longest_s = max(self.longest_s, time.monotonic() - began_at - LAG_INTERVAL_S)


async def open_databases(record: Record, first: int, count: int) -> list[Database]:
    """Return new databases, each with a loopback address of its own."""
    databases = []
    for number in range(first, first + count):
        database = Database(f"s-{number:08x}", record, f"127.0.{1 + number // 200}.{1 + number % 200}")
        await database.start()
        databases.append(database)
    return databases


async def release(channel: Channel, old: list[Database], new: list[Database]) -> None:
    """Replace the old databases by the new ones, one after another; each change is an event."""
    began_at, leaving_count = time.monotonic(), len(old) // 7
    for number, (leaves, comes) in enumerate(zip(old, new, strict=True)):
        await asyncio.sleep(max(0.0, began_at + RELEASE_S * number / len(old) - time.monotonic()))
        channel.announce(member(leaves.name, leaves.address, "leaving"))
        channel.announce(member(comes.name, comes.address, "active", int(time.time() * 1000)))
        if number >= leaving_count:
            gone = old[number - leaving_count]
            channel.announce(member(gone.name, gone.address, "left"))


async def ask_with_tries(client: Client, rng: random.Random, asked: list[Asked]) -> None:
    """Send a request; after a refusal, try again at once with the time that is left."""
    gives_up_at, more = time.monotonic() + GIVE_UP_S * rng.uniform(0.8, 1.0), {}
    for _ in range(TRIES):
        left_s = gives_up_at - time.monotonic()
        if left_s < LEAST_ALLOW_S:
            return
        request = client.ask("table-check", left_s, project="riva-group", **more)
        asked.append(request)
        await asyncio.wait([asyncio.ensure_future(request.done.wait())], timeout=left_s + AFTER_S)
        if request.outcome != "refused":
            return
        more = {"dup": "1"}


async def case(record: Record, folder: Path, proxies: list[Proxy]) -> bool:
    """Carry out the case."""
    hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard_limit, 16_384), hard_limit))
    rng, channel, lag = random.Random(1), Channel(), Lag()
    await channel.start()
    databases = await open_databases(record, 0, DATABASES)
    old = databases[: int(DATABASES * REPLACED_SHARE)]
    new = await open_databases(record, DATABASES, len(old))
    channel.announce(*(member(d.name, d.address) for d in databases), complete=True)
    extra = {**settings()["extra"], "kindCores": [1, 1], "sizeMb": [2048.0, 2048.0]}
    proxy = Proxy(folder, settings(replicasOfMe=PROXIES, extra=extra), channel)
    proxies.append(proxy)
    proxy.configure()
    proxy.start()
    await proxy.wait_until_ready()
    clients = [await Client(record, f"client {n}").connect(proxy.address) for n in range(CLIENTS)]
    for client in clients:
        await client.is_ready()
    asked: list[Asked] = []
    tasks = {asyncio.ensure_future(lag.watch())}
    began_at, count, released = time.monotonic(), 0, False
    while time.monotonic() < began_at + CALM_S + RELEASE_S + AFTER_S:
        count += 1
        tasks.add(asyncio.ensure_future(ask_with_tries(rng.choice(clients), rng, asked)))
        await asyncio.sleep(max(0.0, began_at + count / REQUESTS_PER_S - time.monotonic()))
        if TROUBLE and not released and time.monotonic() > began_at + CALM_S:
            released = True
            record.add("the release begins")
            tasks.add(asyncio.ensure_future(release(channel, old, new)))
    await asyncio.sleep(LAST_ANSWERS_S)
    if proxy.process is None or proxy.process.poll() is not None:
        record.add("the proxy has ended")
        return False
    record.add(f"{len(channel.events)} events; longest delay of the stand-ins {lag.longest_s:.3f} s")
    if lag.longest_s > LATE_S:
        raise CannotRun("the stand-ins were too slow")
    lost = []
    for request in asked:
        due_at = request.sent_at + request.allow_s + LATE_S + lag.longest_s
        answered_at = request.answers[0][0] if request.answers else request.lost_at or time.monotonic()
        if answered_at > due_at or not request.answers:
            lost.append(request)
            late_s = answered_at - request.sent_at - request.allow_s
            record.add(f"lost: {request.ref} allow={request.allow_s:.3f} {request.outcome} late={late_s:.3f}")
    outcomes = Counter(request.outcome for request in asked)
    record.add(f"{len(asked)} requests: {dict(outcomes)}; lost {len(lost)}")
    return not lost


main(case, Path(__file__).parent)
