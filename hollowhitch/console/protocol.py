"""HTTP of the console: parses one request and formats the response to it. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

MAX_REQUEST_BYTES = 16_384  # limit on a whole request, including its headers
MAX_BODY_BYTES = 1_024  # limit on the body of a request


@dataclass(frozen=True, slots=True)
class Request:
    """An operator's request."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A response whose body is one line of text."""

    status: HTTPStatus
    text: str

    def format(self) -> bytes:
        """Return the bytes of the whole response, after which the connection is closed."""
        body = f"{self.text}\n".encode()
        head = (
            f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class RequestError(ValueError):
    """Error in a request; `response` tells the operator about it."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.response = Response(status, text)


class RequestParser:
    """Parser of one request, which ignores any bytes after the request."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._size = 0
        self._url = b""
        self._body = bytearray()
        self._complete = False

    def feed(self, data: bytes) -> Request | None:
        """Return the request once it is complete, else None. Raise RequestError if it is not acceptable."""
        self._size += len(data)
        if self._size > MAX_REQUEST_BYTES:
            raise RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request is too large")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            if isinstance(e.__context__, RequestError):  # raised by `on_body`
                raise e.__context__ from None
            if not self._complete:  # errors in the bytes after the request are ignored
                raise RequestError(HTTPStatus.BAD_REQUEST, "not a valid HTTP request") from None
        if not self._complete:
            return None
        return Request(self._parser.get_method().decode(), self._path(), bytes(self._body))

    def _path(self) -> str:
        try:
            return (httptools.parse_url(self._url).path or b"").decode()
        except (httptools.HttpParserError, UnicodeDecodeError):
            raise RequestError(HTTPStatus.BAD_REQUEST, "invalid path") from None

    # Callbacks of httptools.HttpRequestParser

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL; called by httptools."""
        self._url += url

    def on_body(self, body: bytes) -> None:
        """Collect a part of the request body; called by httptools."""
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            raise RequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the request body is too large")

    def on_message_complete(self) -> None:
        """Record the end of the request; called by httptools."""
        self._complete = True
