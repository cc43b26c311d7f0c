"""What each call to the console asks for, and how it is answered. Carries nothing out by itself."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from hollowhitch.console.protocol import Call, Reply

ENGINE_ID = re.compile(r"[!-~]{1,256}")


class Operations(Protocol):
    """What operators can ask of the process."""

    def ready(self) -> bool:
        """Is this process ready to serve?"""

    def drain(self) -> bool:
        """Send clients away; False where that cannot be."""

    def undrain(self) -> bool:
        """Take clients again; False where that cannot be."""

    def disable(self, engine: str) -> bool:
        """Send nothing more to an engine; False for an id that nobody has named."""

    def enable(self, engine: str) -> bool:
        """Use an engine again; False for an id that nobody has named."""


@dataclass(frozen=True, slots=True)
class Route:
    """One path: its only method, and what answers it."""

    method: str
    answer: Callable[[Operations, Call], Reply]


def _ready(operations: Operations, call: Call) -> Reply:
    if operations.ready():
        return Reply(HTTPStatus.OK, "ready")
    return Reply(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")


def _drain(operations: Operations, call: Call) -> Reply:
    return _done(operations.drain(), "draining")


def _undrain(operations: Operations, call: Call) -> Reply:
    return _done(operations.undrain(), "serving")


def _done(accepted: bool, text: str) -> Reply:
    if accepted:
        return Reply(HTTPStatus.OK, text)
    return Reply(HTTPStatus.CONFLICT, "the process is stopping")


def _disable(operations: Operations, call: Call) -> Reply:
    return _change_engine(call, operations.disable, "disabled")


def _enable(operations: Operations, call: Call) -> Reply:
    return _change_engine(call, operations.enable, "enabled")


def _change_engine(call: Call, change: Callable[[str], bool], done: str) -> Reply:
    engine = call.body.decode("utf-8", "replace").strip()
    if not ENGINE_ID.fullmatch(engine):
        return Reply(HTTPStatus.BAD_REQUEST, "the body has to be a database's id")
    if change(engine):
        return Reply(HTTPStatus.OK, f"{engine} {done}")
    return Reply(HTTPStatus.NOT_FOUND, f"{engine} is unknown")


ROUTES = {
    "/ready": Route("GET", _ready),
    "/drain": Route("POST", _drain),
    "/undrain": Route("POST", _undrain),
    "/databases/disable": Route("POST", _disable),
    "/databases/enable": Route("POST", _enable),
}


def answer(operations: Operations, call: Call) -> Reply:
    """Carry a call out through `operations`, and say how it went."""
    route = ROUTES.get(call.path)
    if route is None:
        return Reply(HTTPStatus.NOT_FOUND, "unknown path")
    if route.method != call.method:
        return Reply(HTTPStatus.METHOD_NOT_ALLOWED, f"only {route.method} here")
    return route.answer(operations, call)
