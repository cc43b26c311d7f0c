"""Routes of the console: the operation that a request asks for, and the response to it. Does no I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from hollowhitch.console.protocol import Request, Response

ENGINE_ID = re.compile(r"[!-~]{1,256}")  # printable ASCII without spaces


class Operations(Protocol):
    """Operations that operators can request; `hollowhitch.__main__.Proxy` implements them."""

    def ready(self) -> bool:
        """Return whether the process is ready to serve."""

    def drain(self) -> bool:
        """Ask clients to leave; return False if the state of the process does not allow it."""

    def undrain(self) -> bool:
        """Accept clients again; return False if the state of the process does not allow it."""

    def disable(self, engine: str) -> bool:
        """Send no more queries to an engine; return False if no list of engines has named its id."""

    def enable(self, engine: str) -> bool:
        """Use an engine again; return False if no list of engines has named its id."""


@dataclass(frozen=True, slots=True)
class Route:
    """The only HTTP method that a path accepts, and the handler of its requests."""

    method: str
    handler: Callable[[Operations, Request], Response]


def _ready(operations: Operations, request: Request) -> Response:
    if operations.ready():
        return Response(HTTPStatus.OK, "ready")
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, "not ready")


def _drain(operations: Operations, request: Request) -> Response:
    return _state_response(operations.drain(), "draining")


def _undrain(operations: Operations, request: Request) -> Response:
    return _state_response(operations.undrain(), "serving")


def _state_response(accepted: bool, text: str) -> Response:
    if accepted:
        return Response(HTTPStatus.OK, text)
    return Response(HTTPStatus.CONFLICT, "the process is stopping")


def _disable(operations: Operations, request: Request) -> Response:
    return _change_engine(request, operations.disable, "disabled")


def _enable(operations: Operations, request: Request) -> Response:
    return _change_engine(request, operations.enable, "enabled")


def _change_engine(request: Request, change: Callable[[str], bool], result: str) -> Response:
    engine = request.body.decode("utf-8", "replace").strip()
    if not ENGINE_ID.fullmatch(engine):
        return Response(HTTPStatus.BAD_REQUEST, "the request body must be the id of a database")
    if change(engine):
        return Response(HTTPStatus.OK, f"{engine} {result}")
    return Response(HTTPStatus.NOT_FOUND, f"{engine} is unknown")


ROUTES = {
    "/ready": Route("GET", _ready),
    "/drain": Route("POST", _drain),
    "/undrain": Route("POST", _undrain),
    "/databases/disable": Route("POST", _disable),
    "/databases/enable": Route("POST", _enable),
}


def handle(operations: Operations, request: Request) -> Response:
    """Carry out a request through `operations` and return its response."""
    route = ROUTES.get(request.path)
    if route is None:
        return Response(HTTPStatus.NOT_FOUND, "unknown path")
    if route.method != request.method:
        return Response(HTTPStatus.METHOD_NOT_ALLOWED, f"method not allowed, use {route.method}")
    return route.handler(operations, request)
