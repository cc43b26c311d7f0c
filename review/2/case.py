"""Some answers of the databases arrive with one spoilt byte: no truncated result may be served."""

from __future__ import annotations

import asyncio
import random

from common import wire
from common.bench import Attempt, Bench, Request, main, make_settings

REQUESTS, CLIENTS = 600, 4
SPOILT_SHARE = 0.2  # share of the first pages of which one byte is spoilt
PAGES, ROWS_A_PAGE = 3, 50
CHECKED_LATER_S = 3.5


def page(ref: str, number: int) -> bytes:
    """Return one page of a request's result, which is the same at each database."""
    rows = range(number * ROWS_A_PAGE, (number + 1) * ROWS_A_PAGE)
    return b"".join(f"{ref}\trow {row}\t{row * 7919:060d}\n".encode() for row in rows)


def spoil(answer: bytes, rng: random.Random) -> bytes:
    """Return an answer with noise in its line: one byte is replaced by another letter.

    No byte becomes a digit, because no proxy could tell a wrong number from a right one.
    """
    position = rng.randrange(answer.index(b"\r\n"))
    letters = bytes(set(b"abcdefghijklmnopqrstuvwxyz") - {answer[position]})
    return answer[:position] + bytes([rng.choice(sorted(letters))]) + answer[position + 1 :]


async def run(bench: Bench) -> bool:
    """Send look-ups whose results have three pages, and compare what is served with what was made."""
    rng = random.Random(20)

    async def behave(attempt: Attempt) -> bytes | None:
        await asyncio.sleep(0.02)
        attempt.pages = {number: page(attempt.ref, number) for number in range(1, PAGES)}
        answer = wire.answer_line(
            attempt.ref, "data", f"fetches={PAGES},stats=cpu:0.3;waiting:0;x0:0.2", page(attempt.ref, 0)
        )
        return spoil(answer, rng) if bench.trouble and rng.random() < SPOILT_SHARE else answer

    proxy = await bench.start(make_settings(), 4, behave)
    clients = [await bench.client(f"client{i}", proxy) for i in range(CLIENTS)]
    requests: list[Request] = []
    for number in range(REQUESTS):
        requests.append(await clients[number % CLIENTS].send("lookup", 2.5))
        await asyncio.sleep(0.03)
    await asyncio.sleep(CHECKED_LATER_S)
    wrong = 0
    for request in requests:
        whole = b"".join(page(request.ref, number) for number in range(PAGES))
        for _, code, body in request.answers[:1]:
            if code == wire.SERVED and body != whole:
                wrong += 1
                bench.record(
                    "check", "served a wrong result", ref=request.ref, bytes=len(body), made=len(whole)
                )
    served = sum(r.answers[0][1] == wire.SERVED for r in requests if r.answers)
    bench.record("check", "results", requests=len(requests), served=served, wrong=wrong)
    return not wrong


if __name__ == "__main__":
    main(__file__, run)
