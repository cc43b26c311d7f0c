"""The platform's protocols as clients and engines speak them, implemented apart from the proxy's code."""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass

HEADER = struct.Struct(">IBI")  # length of everything after the length field, frame type, stream number
REQUEST, ANSWER, CANCEL, READINESS_CHECK, READY, CLOSING = 1, 2, 3, 4, 5, 6
IS_READY = 1


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame of the client protocol."""

    kind: int
    stream: int
    payload: bytes


class WireError(ValueError):
    """Bytes that do not follow the protocol."""


def encode_fields(fields: Mapping[str, str]) -> bytes:
    """Return the number of fields in one byte, then each field with the length of its name and value."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        data = value.encode()
        parts.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(data)) + data)
    return b"".join(parts)


def decode_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Return the decoded fields and the bytes that follow them."""
    fields: dict[str, str] = {}
    offset = 1
    for _ in range(payload[0]):
        name_end = offset + 1 + payload[offset]
        (size,) = struct.unpack_from(">H", payload, name_end)
        fields[payload[offset + 1 : name_end].decode()] = payload[name_end + 2 : name_end + 2 + size].decode()
        offset = name_end + 2 + size
    return fields, payload[offset:]


def encode_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Return a frame of the client protocol."""
    return HEADER.pack(5 + len(payload), kind, stream) + payload


class FrameReader:
    """Splits a stream of bytes into frames."""

    def __init__(self) -> None:
        self._data = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether a frame was received in part."""
        return bool(self._data)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes, and return the frames that they complete."""
        self._data += data
        frames = []
        while len(self._data) >= HEADER.size:
            length, kind, stream = HEADER.unpack_from(self._data)
            if len(self._data) < 4 + length:
                break
            frames.append(Frame(kind, stream, bytes(self._data[HEADER.size : 4 + length])))
            del self._data[: 4 + length]
        return frames


def decode_answer(payload: bytes) -> tuple[int, dict[str, str], bytes]:
    """Return the code, fields and body of an answer; raise WireError if it is malformed."""
    try:
        fields, body = decode_fields(payload[1:])
        return payload[0], fields, body
    except (IndexError, struct.error, UnicodeDecodeError) as e:
        raise WireError(f"malformed answer: {e}") from None


def encode_answer_line(ref: str, kind: str, fields: str = "-", body: bytes = b"") -> bytes:
    """Return an engine's answer: a line that ends with the size of the body, and the body."""
    return f"{ref} {kind} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


def decode_request_fields(text: str) -> dict[str, str]:
    """Return the fields of a request line to an engine, where "-" stands for none."""
    if text == "-":
        return {}
    pairs = (pair.partition("=") for pair in text.split(","))
    return {name: value for name, _, value in pairs}
