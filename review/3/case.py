"""A calm day of long loads, ten a second: the proxy must stay under its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import re
import secrets
import signal
from pathlib import Path

from common.bench import Bench, Proxy, Request, main, make_settings

MEMORY_MB = 192  # the limit that the configuration states, the highest of the scored days
LONG_BYTES, SHORT_BYTES = 250_000, 250  # of a statement; a frame may have 262,144 bytes
LOADS, LOADS_PER_S, CLIENTS = 800, 10.0, 4
WATCH_INTERVAL_S, REPORT_INTERVAL_S = 0.05, 5.0


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has held so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    return int(found.group(1)) / 1024 if found else 0.0


async def enforce_limit(bench: Bench, proxy: Proxy) -> None:
    """Kill the proxy once it is over its limit, as the platform does."""
    assert proxy.process is not None
    reported_at = 0.0
    with contextlib.suppress(FileNotFoundError):
        while proxy.process.poll() is None:
            peak_mb = peak_memory_mb(proxy.process.pid)
            if asyncio.get_running_loop().time() >= reported_at + REPORT_INTERVAL_S:
                reported_at = asyncio.get_running_loop().time()
                bench.record("platform", "peak memory", mb=f"{peak_mb:.1f}")
            if peak_mb > MEMORY_MB:
                bench.record("platform", "over the limit", peak_mb=f"{peak_mb:.1f}", limit_mb=MEMORY_MB)
                proxy.signal(signal.SIGKILL)
                return
            await asyncio.sleep(WATCH_INTERVAL_S)


async def run(bench: Bench) -> bool:
    """Send loads at a steady rate; each is answered before its client sends the next one."""
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    proxy = await bench.start(make_settings(), 4, limits=limits)
    watch = asyncio.create_task(enforce_limit(bench, proxy))
    clients = [await bench.client(f"client{i}", proxy) for i in range(CLIENTS)]
    size = LONG_BYTES if bench.trouble else SHORT_BYTES
    statement = b"insert into sales_1.notes values ('" + b"a" * size + b"')"
    requests: list[Request] = []
    with contextlib.suppress(ConnectionError):
        for number in range(LOADS):
            if watch.done():
                break
            more = {"lookup": secrets.token_hex(8), "replay": secrets.token_hex(16), "effort": "300.0"}
            client = clients[number % CLIENTS]
            requests.append(await client.send("load", 20.0, statement=statement, **more))
            await asyncio.sleep(1 / LOADS_PER_S)
    await asyncio.sleep(1.0)
    unanswered = sum(not request.answers for request in requests)
    bench.record(
        "check",
        "results",
        loads=len(requests),
        served=sum(bool(r.answers) and r.answers[0][1] == 1 for r in requests),
        unanswered=unanswered,
        killed=watch.done(),
    )
    return not watch.done() and not unanswered


if __name__ == "__main__":
    main(__file__, run)
