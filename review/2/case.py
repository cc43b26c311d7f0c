"""One usual request with a long string in its statement: the proxy must stay under its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
from pathlib import Path

from common.bench import Bench, Proxy, Request, main, make_settings

MEMORY_MB = 64  # the limit that the configuration states
LITERAL_BYTES = 250_000  # with it, the frame stays under 262,144 bytes
SMALL_LITERAL_BYTES = 250
LOOKUPS = 200
WATCH_INTERVAL_S = 0.01


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has held so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found.group(1)) / 1024 if found else 0.0


async def enforce_limit(bench: Bench, proxy: Proxy) -> None:
    """Kill the proxy once it is over its limit, as the platform does."""
    assert proxy.process is not None
    with contextlib.suppress(FileNotFoundError):
        while proxy.process.poll() is None:
            if (peak_mb := peak_memory_mb(proxy.process.pid)) > MEMORY_MB:
                bench.record(
                    "platform", "over the memory limit", peak_mb=f"{peak_mb:.1f}", limit_mb=MEMORY_MB
                )
                proxy.signal(signal.SIGKILL)
                return
            await asyncio.sleep(WATCH_INTERVAL_S)


async def run(bench: Bench) -> bool:
    """Send look-ups, and among them one load into `staging` whose data is part of the statement."""
    settings = make_settings()
    proxy = await bench.start(settings, 3, limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024})
    assert proxy.process is not None
    bench.record("check", "peak memory when ready", mb=f"{peak_memory_mb(proxy.process.pid):.1f}")
    watch = asyncio.create_task(enforce_limit(bench, proxy))
    clients = [await bench.client(f"client{i}", proxy) for i in range(3)]
    requests: list[Request] = []
    try:
        for number in range(LOOKUPS):
            requests.append(await clients[number % 2].send("lookup", 2.5))
            if number == LOOKUPS // 2:
                size = LITERAL_BYTES if bench.trouble else SMALL_LITERAL_BYTES
                statement = b"insert into staging.notes values ('" + b"a" * size + b"')"
                requests.append(
                    await clients[2].send("load", 20.0, statement=statement, replay="5c" * 16, effort="300.0")
                )
            await asyncio.sleep(0.02)
    except ConnectionError:
        bench.record("check", "a connection ended")
    await asyncio.sleep(3.0)
    unanswered = sum(not request.answers for request in requests)
    if proxy.process.poll() is None:
        bench.record(
            "check", "peak memory", mb=f"{peak_memory_mb(proxy.process.pid):.1f}", limit_mb=MEMORY_MB
        )
    bench.record("check", "results", requests=len(requests), unanswered=unanswered, killed=watch.done())
    return not watch.done() and not unanswered


if __name__ == "__main__":
    main(__file__, run)
