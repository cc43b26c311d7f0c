"""Bad clients send many long requests of a class that does not exist: the others must get their answers."""

from __future__ import annotations

import asyncio

from common.bench import Bench, Request, main, make_settings

BAD_CLIENTS = 80
STATEMENT = b"select " + b"1," * 125_000 + b"1 from sales_1.orders"  # the frame stays under 262,144 bytes
USUAL_CLIENTS, INTERVAL_S, USUAL_SECONDS = 4, 0.2, 20.0
# A request is lost if its answer comes later than half a second after its time, or never; 50 ms for sockets.
LATE_S = 0.5 + 0.05
LATEST_END_S = 100.0


async def run(bench: Bench) -> bool:
    """Send look-ups at a steady rate, and wait for the answers; the bad clients come after two seconds."""
    proxy = await bench.start(make_settings(), 3)
    usual = [await bench.client(f"client{i}", proxy) for i in range(USUAL_CLIENTS)]
    requests: list[Request] = []

    async def send_steadily(number: int) -> None:
        for _ in range(int(USUAL_SECONDS / INTERVAL_S)):
            requests.append(await usual[number].send("lookup", 2.5))
            # A client has at most 32 requests open.
            while sum(not r.answers for r in usual[number].requests.values()) >= 32:
                await asyncio.sleep(0.05)
            await asyncio.sleep(INTERVAL_S)

    async def send_badly(number: int) -> None:
        client = await bench.client(f"bad{number}", proxy)
        await client.send("nonesuch", 2.5, statement=STATEMENT)

    senders = [asyncio.create_task(send_steadily(number)) for number in range(USUAL_CLIENTS)]
    await asyncio.sleep(2.0)
    if bench.trouble:
        await asyncio.gather(*(send_badly(number) for number in range(BAD_CLIENTS)))
    _, waiting = await asyncio.wait(senders, timeout=LATEST_END_S - 20)
    for sender in waiting:
        sender.cancel()
    await asyncio.sleep(4.0)
    lost = 0
    worst_s = 0.0
    for request in requests:
        assert request.sent_at is not None
        took_s = request.answers[0][0] - request.sent_at if request.answers else float("inf")
        worst_s = max(worst_s, took_s)
        if took_s > request.allow_s + LATE_S:
            lost += 1
            bench.record("check", "lost", ref=request.ref, outcome=request.outcome())
    bench.record("check", "results", requests=len(requests), lost=lost, longest_s=f"{worst_s:.3f}")
    return not lost


if __name__ == "__main__":
    main(__file__, run)
