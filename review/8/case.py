"""A few bad clients reconnect at full speed, while usual clients send look-ups."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

from review.second.rig import (
    END_S,
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

FLOODS = 6  # bad clients, each of which has one connection at a time
DATABASES, CLIENTS, INTERVAL_S = 3, 3, 0.1
ALLOWED_S = (0.5, 0.6, 1.0, 2.0, 2.5)  # up to the class's 2.5 s, and shorter on later tries
CALM_S, FLOOD_S, AFTER_S = 2.0, 15.0, 4.0
# A final answer that comes later than this after the request's time is lost: half a second, the settings'
# `answerSlackUs` and 50 ms for time limits on sockets.
LATE_S = 0.5 + 0.02 + 0.05
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 256}  # the pages: 32 to 192 MB, 256 to 1,024 descriptors
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


async def ask_on(
    address: str, name: str, record: Record, until: float, asked: list[Asked], connections: list[Client]
) -> None:
    """Send look-ups on one connection, and on a new one if the proxy has closed it."""
    client, number = None, 0
    while time.monotonic() < until:
        if client is None or client.ended_at is not None:
            try:
                client = await Client(record, name).connect(address)
                connections.append(client)
            except OSError:
                await asyncio.sleep(0.05)
                continue
        waiting = sum(1 for a in client.asked.values() if not a.answers)
        if waiting < 32:
            allow_s = ALLOWED_S[number % len(ALLOWED_S)]
            asked.append(client.ask("table-check", allow_s, project="riva-group"))
            number += 1
        await asyncio.sleep(INTERVAL_S)


async def case(record: Record, folder: Path, proxies: list[Proxy]) -> bool:
    """Carry out the case."""
    channel, lag = Channel(), Lag()
    await channel.start()
    databases = [Database(f"s-{number:08x}", record) for number in range(DATABASES)]
    for database in databases:
        await database.start()
    channel.announce(*(member(d.name, d.address) for d in databases), complete=True)
    proxy = Proxy(folder, settings(), channel)
    proxies.append(proxy)
    proxy.configure(limits=LIMITS)
    proxy.start()
    await proxy.wait_until_ready()
    asked: list[Asked] = []
    connections: list[Client] = []
    until = time.monotonic() + CALM_S + FLOOD_S
    tasks = [
        asyncio.ensure_future(ask_on(proxy.address, f"client {n}", record, until, asked, connections))
        for n in range(CLIENTS)
    ]
    watch = asyncio.ensure_future(lag.watch())
    await asyncio.sleep(CALM_S)
    floods = []
    if TROUBLE:
        command = [sys.executable, str(Path(__file__).with_name("flood.py")), proxy.address, str(FLOOD_S)]
        floods = [subprocess.Popen(command, stdout=subprocess.PIPE) for _ in range(FLOODS)]
        record.add(f"{FLOODS} bad clients begin")
    try:
        await asyncio.wait(tasks)
        await asyncio.sleep(AFTER_S)
        for flood in floods:
            record.add(f"a bad client connected {flood.communicate(timeout=END_S)[0].decode().strip()} times")
    finally:
        for flood in floods:
            flood.kill()
            flood.wait(END_S)
    watch.cancel()
    if proxy.process is None or proxy.process.poll() is not None:
        record.add("the proxy has ended")
        return False
    record.add(f"longest delay of the stand-ins {lag.longest_s:.3f} s")
    if lag.longest_s > LATE_S:
        raise CannotRun("the stand-ins were too slow")
    lost = []
    firsts = {id(asked_by.asked[1]) for asked_by in connections if 1 in asked_by.asked}
    reached = {a.ref for d in databases for a in d.attempts}
    for request in asked:
        due_at = request.sent_at + request.allow_s + LATE_S + lag.longest_s
        crossed = request.lost_at is not None and request.sent_at > request.lost_at - 0.05
        is_first = id(request) in firsts and request.lost_at is not None
        if not request.answers and (crossed or is_first) and request.ref not in reached:
            continue  # it crossed the close of a connection, and is sent again
        if not request.answers or request.answers[0][0] > due_at:
            lost.append(request)
            ended_at = request.answers[0][0] if request.answers else request.lost_at or time.monotonic()
            late_s = ended_at - request.sent_at - request.allow_s
            record.add(f"lost: {request.ref} allow={request.allow_s} {request.outcome} late={late_s:.3f}")
    outcomes = Counter(request.outcome for request in asked)
    record.add(f"{len(asked)} requests: {dict(outcomes)}; lost {len(lost)}")
    return not lost


main(case, Path(__file__).parent)
