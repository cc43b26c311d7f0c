"""Command channel: HTTP with server-sent events in, changes to the list of engines out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httptools
import ujson

from hollowhitch.policy.interface import Engine, EngineList, EngineState, ListKind
from hollowhitch.protocol.buffer import ReceiveBuffer

# States of an engine, by its `phase` in a list.
STATES = {"active": EngineState.READY, "leaving": EngineState.DRAINING, "left": EngineState.GONE}
MAX_LINE_BYTES = 4 * 1024 * 1024  # limit on unparsed bytes, and so on the length of one line of an event


class ChannelError(ValueError):
    """Error in a response or an event of the command channel."""


@dataclass(frozen=True, slots=True)
class Command:
    """One numbered event of the channel."""

    cursor: int  # number of the event
    engines: EngineList | None  # None: the event does not change the list of engines
    addresses: Mapping[str, tuple[str, int]]  # by engine id


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """A server-sent event as received."""

    id: str
    data: str


def parse_address(text: str, min_port: int = 1) -> tuple[str, int]:
    """Return host and port of `host:port`.

    Raise ValueError if the text is malformed or the port is below `min_port`.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not min_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(port)


def _parse_engine(row: dict[str, Any]) -> Engine:
    state = STATES.get(row["phase"])
    if state is None:
        raise ChannelError(f"unknown phase {row['phase']!r} of an engine")
    return Engine(
        id=str(row["id"]),
        zone=str(row.get("locality") or ""),
        kind=str(row.get("flavor") or ""),
        cell=int(row.get("cell") or 0),
        state=state,
        weight=float(row.get("size") or 1),
        started_at_us=int(row.get("up_since_ms") or 0) * 1000,
    )


def parse_command(raw: Any) -> Command:
    """Return the command in a decoded event. Raise ChannelError if it is invalid.

    An event without `nodes` only advances the cursor.
    """
    try:
        nodes = raw.get("nodes")
        if nodes is None:
            return Command(int(raw["cursor"]), None, {})
        rows = nodes["members"]
        engines = tuple(_parse_engine(row) for row in rows)
        kind = ListKind.FULL if nodes.get("complete") else ListKind.DELTA
        rows_with_address = [row for row in rows if row.get("host_port")]  # an engine that left may have none
        addresses = {str(row["id"]): parse_address(row["host_port"]) for row in rows_with_address}
        return Command(int(raw["cursor"]), EngineList(kind, engines), addresses)
    except ChannelError:
        raise
    except (KeyError, TypeError, ValueError, AttributeError) as e:
        raise ChannelError(f"{type(e).__name__}: {e}") from None


def decode_event(event: ServerEvent) -> Command:
    """Return the command in an event.

    Raise ChannelError if the event is malformed, or if its id differs from the cursor of its command.
    """
    try:
        raw = ujson.loads(event.data)
    except ValueError as e:
        raise ChannelError(f"event {event.id[:20]} is not JSON: {e}") from None
    command = parse_command(raw)
    if event.id and event.id != str(command.cursor):
        raise ChannelError(f"event with id {event.id[:20]} has the cursor {command.cursor}")
    return command


def format_request(path: str, host: str, cursor: int) -> bytes:
    """Return the HTTP request for the events that follow `cursor`."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\nLast-Event-ID: {cursor}\r\n\r\n"
    ).encode()


class ChannelProtocol:
    """Parser of one HTTP response and the events in it; `ended` is set once the response is complete."""

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer()  # incomplete lines
        self.ended = False
        self._parser = httptools.HttpResponseParser(self)
        self._id = ""
        self._data: list[str] = []
        self._events: list[ServerEvent] = []

    def feed(self, data: bytes | memoryview) -> list[ServerEvent]:
        """Return the events that `data` completes. Raise ChannelError if the response is unusable."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as e:
            if isinstance(e.__context__, ChannelError):  # raised by one of the callbacks below
                raise e.__context__ from None
            raise ChannelError(f"{type(e).__name__}: {e}") from None
        events, self._events = self._events, []
        return events

    # Callbacks of httptools.HttpResponseParser

    def on_headers_complete(self) -> None:
        """Check the status of the response; called by httptools."""
        status = self._parser.get_status_code()
        if status != 200:
            raise ChannelError(f"response has status {status}")

    def on_body(self, body: bytes) -> None:
        """Handle the lines that `body` completes; called by httptools for each part of the response body."""
        self.buffer.write(body)
        if len(self.buffer) > MAX_LINE_BYTES:
            raise ChannelError("a line of an event exceeds the size limit")
        while (index := self.buffer.find(b"\n")) >= 0:
            self._handle_line(self.buffer.read(index + 1).rstrip(b"\r\n").decode("utf-8", "replace"))

    def on_message_complete(self) -> None:
        """Record the end of the response; called by httptools."""
        self.ended = True

    def _handle_line(self, line: str) -> None:
        if not line:
            if self._data:
                self._events.append(ServerEvent(self._id, "\n".join(self._data)))
            self._data = []
            return
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            self._id = value
        elif name == "data":
            self._data.append(value)
