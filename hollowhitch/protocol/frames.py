"""Client protocol: binary frames in, events out, and the frames that answer them.

A frame consists of a 4-byte length (the number of bytes after it), a 1-byte type, a 4-byte stream id and a
payload. Numbers are big-endian.
"""

from __future__ import annotations

import dataclasses
import hashlib
import math
import re
import struct
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from hollowhitch.policy.interface import QueryArrived, QueryClass, RetrySafety, Settings
from hollowhitch.protocol.buffer import ReceiveBuffer
from hollowhitch.protocol.tables import find_data_set

MIN_LENGTH, MAX_LENGTH = 5, 262_144  # bounds of a frame's length field, which counts type, stream and payload
LENGTH_FIELD_BYTES = 4
# Frame types.
REQUEST, ANSWER, CANCEL, READINESS_CHECK, READY, CLOSING = 1, 2, 3, 4, 5, 6
# Codes of ANSWER frames.
SERVED, REFUSED, FAILED = 1, 2, 3
# Codes of READY frames.
IS_READY, NOT_READY = 1, 2
MAX_OPEN_REQUESTS = 32  # limit on unanswered requests per connection
MAX_USED_STREAMS = 256  # closed streams per connection that are remembered to detect reuse

ENGINE_WORD = re.compile(r"[0-9A-Za-z_.:-]{1,128}")  # values that are safe to copy into a line for an engine
REF = re.compile(r"[0-9A-Fa-f]{16}")  # the id by which engines know a query
# Upper bounds of a request's `allow` and `effort`, as multiples of its class's deadline. As `effort` is an
# amount of work, its bound is also multiplied by the class's number of threads.
MAX_ALLOW_FACTOR, MAX_EFFORT_FACTOR = 2.0, 20.0

# Names of the fields of a request.
REQUEST_FIELDS = frozenset(
    {"service", "ref", "allow", "project", "dup", "replay", "effort", "need_mb", "lookup"}
)
HEAD_FIELDS = frozenset({b"allow", b"lookup"})  # names of those that `peek_request` reads

HEADER = struct.Struct(">IBI")  # length, type, stream


@dataclass(frozen=True, slots=True)
class Request:
    """A request as received. `parse_query` reads it, which takes longer than to find its frame."""

    stream: int
    payload: bytes  # fields and body


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that is not accepted, since a limit is reached or it is not written in time.

    It is refused on its stream, and the connection stays usable. Its payload is not looked at.
    """

    stream: int
    reason: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """The client no longer waits for the answer on this stream."""

    stream: int


@dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """The client asks whether the process is ready to serve."""

    stream: int


@dataclass(frozen=True, slots=True)
class DuplicateStream:
    """A request on a stream that was used before.

    It must not be answered on this stream, where the answer could be taken for that to the first request.
    """

    stream: int


@dataclass(frozen=True, slots=True)
class ProtocolViolation:
    """Bytes that are not a valid frame; nothing after them can be parsed."""

    reason: str


FrameEvent = Request | BadRequest | Cancel | ReadinessCheck | DuplicateStream | ProtocolViolation


class FieldError(ValueError):
    """Error in the fields of a request: they are malformed, or a value is unusable."""


def parse_fields(payload: bytes, names: Collection[str] | None = None) -> tuple[dict[str, str], int]:
    """Return the fields at the start of a payload, and the number of bytes that encode them.

    Only fields with one of the `names` are returned, if any are given: a frame of 2 KB may have 255 fields,
    which would take 30 KB. Raise FieldError if the fields exceed the payload, repeat a name or are not UTF-8.
    """
    try:
        fields: dict[str, str] = {}
        seen_names: set[str] = set()
        offset = 1
        for _ in range(payload[0]):
            name_end = offset + 1 + payload[offset]
            size = int.from_bytes(payload[name_end : name_end + 2], "big")
            end = name_end + 2 + size
            if end > len(payload):
                raise FieldError("fields run past the frame")
            name = payload[offset + 1 : name_end].decode()
            if name in seen_names:
                raise FieldError(f"field {name[:40]!r} stands twice")
            seen_names.add(name)
            value = payload[name_end + 2 : end].decode()
            if names is None or name in names:
                fields[name] = value
            offset = end
        return fields, offset
    except IndexError:
        raise FieldError("fields run past the frame") from None
    except UnicodeDecodeError:
        raise FieldError("a field is not text") from None


def _parse_number(
    fields: Mapping[str, str], name: str, maximum: float, default: float | None = None
) -> float:
    """Return a field as a number from 0 to `maximum`; without a default the field is required."""
    text = fields.get(name)
    if text is None and default is not None:
        return default
    try:
        value = float(text or "")
    except ValueError:
        value = math.nan
    if not 0 <= value <= maximum or value == math.inf:
        raise FieldError(f"{name} is not a number from 0 to {maximum:g}")
    return value


def _parse_word(fields: Mapping[str, str], name: str, pattern: re.Pattern[str]) -> str:
    """Return a required field. Raise FieldError unless the whole field matches `pattern`."""
    text = fields.get(name, "")
    if not pattern.fullmatch(text):
        raise FieldError(f"{name} is missing or can't be passed on")
    return text


class RequestValidator:
    """Limits on requests that follow from the settings.

    They keep estimates that no engine could meet from reaching the controller: one such value would distort
    its averages for a long time, and engines answer such requests with an error anyway.
    """

    def __init__(self, settings: Settings) -> None:
        self.classes = {c.name: c for c in settings.classes}
        self.tenants = {t.name for t in settings.tenants}
        sizes_mb = [kind.memory_mb for kind in settings.kinds]
        self.max_memory_mb = max((size_mb or math.inf for size_mb in sizes_mb), default=math.inf)

    def find_class(self, fields: Mapping[str, str]) -> QueryClass:
        """Return the class that the fields name. Raise FieldError if the class or the tenant is unknown."""
        query_class = self.classes.get(fields.get("service", ""))
        if query_class is None:
            raise FieldError(f"service {fields.get('service', '')[:40]!r} is unknown")
        if self.tenants and fields.get("project") not in self.tenants:
            raise FieldError(f"project {fields.get('project', '')[:40]!r} is unknown")
        return query_class


@dataclass(frozen=True, slots=True)
class ParsedQuery:
    """What a request asks for."""

    ref: str  # the id by which engines know the query
    arrival: QueryArrived  # the event for the controller, which has no id yet
    idempotency_key: str | None
    statement: bytes


def parse_query(payload: bytes, validator: RequestValidator) -> ParsedQuery:
    """Return the query in the payload of a request.

    Raise FieldError if the fields are malformed, or one is missing, unknown or out of bounds. The statement
    is only looked at if all of them are usable.
    """
    fields, size = parse_fields(payload, REQUEST_FIELDS)
    statement = payload[size:]
    ref = _parse_word(fields, "ref", REF)
    query_class = validator.find_class(fields)
    deadline_ms = query_class.deadline_us / 1000
    # Without an idempotency key, engines could not drop a repeated attempt and would run it twice.
    needs_key = query_class.retry_safety is RetrySafety.DEDUPLICATED
    idempotency_key = _parse_word(fields, "replay", ENGINE_WORD) if needs_key or "replay" in fields else None
    order_key = fields.get("lookup") or None
    arrival = QueryArrived(
        id="",
        class_name=query_class.name,
        tenant=fields.get("project") or None,
        key=int.from_bytes(hashlib.blake2b(order_key.encode(), digest_size=6).digest(), "big")
        if order_key
        else None,
        expires_in_us=int(_parse_number(fields, "allow", deadline_ms * MAX_ALLOW_FACTOR) * 1000),
        cost_us=int(
            _parse_number(fields, "effort", deadline_ms * query_class.threads * MAX_EFFORT_FACTOR, 0.0) * 1000
        ),
        memory_mb=_parse_number(fields, "need_mb", validator.max_memory_mb, 0.0),
        data_set=0,
        is_retry=fields.get("dup") == "1",
    )
    arrival = dataclasses.replace(arrival, data_set=find_data_set(statement))
    return ParsedQuery(ref, arrival, idempotency_key, statement)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What has to be known of a request before it is parsed."""

    allowed_us: int | None  # how long its client waits for the answer; None: the field is missing or unusable
    order_key: bytes | None  # requests with the same key run in order; None: it has no key


def peek_request(payload: bytes) -> RequestHead:
    """Return the head of the request with this payload, which `parse_query` may still find malformed."""
    values: dict[bytes, bytes] = {}
    offset = 1
    for _ in range(payload[0] if payload else 0):
        size_at = offset + 1 + payload[offset] if offset < len(payload) else len(payload)
        value_at = size_at + 2
        if value_at > len(payload):
            break
        end = value_at + int.from_bytes(payload[size_at:value_at], "big")
        name = payload[offset + 1 : size_at]
        if name in HEAD_FIELDS:
            values[name] = payload[value_at:end]
        offset = end
    return RequestHead(_parse_allowed_us(values.get(b"allow", b"")), values.get(b"lookup") or None)


def _parse_allowed_us(text: bytes) -> int | None:
    try:
        allowed_ms = float(text)
    except ValueError:
        return None
    return int(allowed_ms * 1000) if 0 <= allowed_ms < math.inf else None


def format_fields(fields: dict[str, str]) -> bytes:
    """Return the encoding of fields that `parse_fields` reads."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        raw_name, raw_value = name.encode(), value.encode()
        parts.append(bytes([len(raw_name)]) + raw_name + len(raw_value).to_bytes(2, "big") + raw_value)
    return b"".join(parts)


def format_frame(frame_type: int, stream: int, payload: bytes = b"") -> bytes:
    """Return a frame of any type; a `stream` of 0 stands for the connection as a whole."""
    return HEADER.pack(5 + len(payload), frame_type, stream) + payload


def format_answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an ANSWER frame; `code` is SERVED, REFUSED or FAILED."""
    return format_frame(ANSWER, stream, bytes([code]) + format_fields(fields) + body)


def format_ready(stream: int, code: int) -> bytes:
    """Return a READY frame, the answer to a readiness check; `code` is IS_READY or NOT_READY."""
    return format_frame(READY, stream, bytes([code]) + format_fields({}))


class ClientProtocol:
    """Parser and stream state of one client connection.

    Each request occupies its stream until `close_stream` is called, and a used stream is not accepted again.
    After the first invalid frame the connection is `broken` and all further bytes are dropped.
    """

    def __init__(self) -> None:
        self.buffer = ReceiveBuffer()
        self.open_streams: set[int] = set()
        self.has_exceeded_limit = False  # the client has sent a request with MAX_OPEN_REQUESTS unanswered
        self._used_streams: dict[int, None] = {}  # an ordered set, the oldest first
        self.broken = False
        self.bytes_to_skip = 0  # bytes to come of a frame that is being discarded

    def feed(self, data: bytes) -> list[FrameEvent]:
        """Return the events that `data` completes."""
        self.buffer.write(data)
        return self.buffer_updated(0)

    def buffer_updated(
        self, count: int, may_buffer: Callable[[int], bool] = lambda size: True
    ) -> list[FrameEvent]:
        """Return the events that are complete after `count` bytes were written to the buffer's free space.

        An incomplete frame is only buffered if `may_buffer` accepts its length. Otherwise the request is
        refused after its header is read, and the rest of the frame is discarded as it arrives.
        """
        self.commit(count)
        events: list[FrameEvent] = []
        while (event := self.next_event(may_buffer)) is not None:
            events.append(event)
        return events

    def commit(self, count: int) -> None:
        """Note that `count` bytes were written to the buffer's free space; call `next_event` after that."""
        self.buffer.commit(count)
        self._discard_skipped()

    def next_event(self, may_buffer: Callable[[int], bool] = lambda size: True) -> FrameEvent | None:
        """Return the event of the next frame in the buffer, or None if there is no complete one.

        `may_buffer` is as for `buffer_updated`.
        """
        event = None if self.broken else self._parse_frame(may_buffer)
        if self.broken:
            self.buffer.consume(len(self.buffer))
        return event

    def _parse_frame(self, may_buffer: Callable[[int], bool]) -> FrameEvent | None:
        if len(self.buffer) < LENGTH_FIELD_BYTES:
            return None
        length = int.from_bytes(self.buffer.peek(0, LENGTH_FIELD_BYTES), "big")
        if not MIN_LENGTH <= length <= MAX_LENGTH:
            return self._fail(f"a frame of length {length}")
        if len(self.buffer) >= LENGTH_FIELD_BYTES + length:
            _, frame_type, stream = HEADER.unpack(self.buffer.read(HEADER.size))
            return self._handle_frame(frame_type, stream, self.buffer.read(length - MIN_LENGTH))
        if len(self.buffer) < HEADER.size or may_buffer(length):
            return None
        return self.skip_frame(over_limit_reason="no memory to buffer the request")

    def skip_frame(self, over_limit_reason: str) -> FrameEvent | None:
        """Discard the incomplete frame, now and as the rest of it arrives, and return its event.

        A request is refused, which is harmless. Frames of other types are never so long, so they are invalid.
        Return None, and discard nothing, if less than the frame's header has arrived.
        """
        if len(self.buffer) < HEADER.size:
            return None
        length, frame_type, stream = HEADER.unpack(self.buffer.peek(0, HEADER.size))
        self.bytes_to_skip = LENGTH_FIELD_BYTES + length
        self._discard_skipped()
        if frame_type != REQUEST:
            return self._fail(f"a frame of type {frame_type} and length {length}")
        return self._handle_request(stream, None, over_limit_reason)

    def skip(self, count: int) -> None:
        """Note that `count` bytes were read and discarded, instead of being written to the buffer."""
        self.bytes_to_skip = max(self.bytes_to_skip - count, 0)

    def missing_bytes(self) -> int:
        """Return how many more bytes complete the next frame, or its length field if that is incomplete."""
        buffered = len(self.buffer)
        if buffered < LENGTH_FIELD_BYTES:
            return LENGTH_FIELD_BYTES - buffered
        length = int.from_bytes(self.buffer.peek(0, LENGTH_FIELD_BYTES), "big")
        return max(LENGTH_FIELD_BYTES + length - buffered, 1)

    def _discard_skipped(self) -> None:
        size = min(self.bytes_to_skip, len(self.buffer))
        self.buffer.consume(size)
        self.bytes_to_skip -= size

    def abort(self, reason: str) -> ProtocolViolation:
        """Break the connection of a client that does not complete a frame; drop the buffered bytes."""
        self.buffer.consume(len(self.buffer))
        return self._fail(reason)

    def close_stream(self, stream: int) -> None:
        """Close a stream whose request is answered, or whose client no longer waits for an answer."""
        self.open_streams.discard(stream)
        self._used_streams[stream] = None
        if len(self._used_streams) > MAX_USED_STREAMS:
            del self._used_streams[next(iter(self._used_streams))]

    def _fail(self, reason: str) -> ProtocolViolation:
        self.broken = True
        return ProtocolViolation(reason)

    def _handle_frame(self, frame_type: int, stream: int, payload: bytes) -> FrameEvent:
        if frame_type == REQUEST:
            return self._handle_request(stream, payload)
        if frame_type == CANCEL:
            return Cancel(stream)
        if frame_type == READINESS_CHECK:
            return ReadinessCheck(stream)
        return self._fail(f"a frame of type {frame_type}")

    def _handle_request(self, stream: int, payload: bytes | None, refusal_reason: str = "") -> FrameEvent:
        """Return the event of a request; `payload` is None if it is refused for `refusal_reason`."""
        if stream == 0:
            return self._fail("a request on stream 0")
        if stream in self.open_streams or stream in self._used_streams:
            return DuplicateStream(stream)
        limit_reached = len(self.open_streams) >= MAX_OPEN_REQUESTS
        self.has_exceeded_limit = self.has_exceeded_limit or limit_reached
        self.open_streams.add(stream)
        if limit_reached:
            return BadRequest(stream, f"over {MAX_OPEN_REQUESTS} requests are open on this connection")
        if payload is None:
            return BadRequest(stream, refusal_reason)
        return Request(stream, payload)
