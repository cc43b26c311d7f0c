"""The console's HTTP: bytes in, one call out; and the reply to it. Does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import httptools

CALL_BYTES_MOST = 16_384  # of a whole call
BODY_BYTES_MOST = 1_024


@dataclass(frozen=True, slots=True)
class Call:
    """One operator's call."""

    method: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """What the caller is told: a status and one line of text."""

    status: HTTPStatus
    text: str

    def format(self) -> bytes:
        """The bytes of a whole answer, after which the connection is closed."""
        body = f"{self.text}\n".encode()
        head = (
            f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + body


class CallError(ValueError):
    """Bytes that are no call that could be carried out; `reply` tells the caller so."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.reply = Reply(status, text)


class CallProtocol:
    """Reads one call. What follows it on the same connection is not looked at."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._size = 0
        self._url = b""
        self._body = bytearray()
        self._whole = False

    def feed(self, data: bytes) -> Call | None:
        """The call once it is whole; CallError if it cannot become one."""
        self._size += len(data)
        if self._size > CALL_BYTES_MOST:
            raise CallError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the call is too large")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            if isinstance(e.__context__, CallError):
                raise e.__context__ from None
            if not self._whole:
                raise CallError(HTTPStatus.BAD_REQUEST, "this is no HTTP call") from None
        if not self._whole:
            return None
        return Call(self._parser.get_method().decode(), self._path(), bytes(self._body))

    def _path(self) -> str:
        try:
            return (httptools.parse_url(self._url).path or b"").decode()
        except (httptools.HttpParserError, UnicodeDecodeError):
            raise CallError(HTTPStatus.BAD_REQUEST, "the path cannot be read") from None

    # Called by the parser

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > BODY_BYTES_MOST:
            raise CallError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        self._whole = True
