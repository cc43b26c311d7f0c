"""The platform's protocols as clients and databases speak them, written apart from the project's code."""

from __future__ import annotations

import struct
from collections.abc import Mapping

HEADER = struct.Struct(">IBI")  # length of all that follows it, type, stream
REQUEST, ANSWER, CANCEL, READY_QUESTION, READY_ANSWER, LEAVE = 1, 2, 3, 4, 5, 6
SERVED, REFUSED, FAILED = 1, 2, 3
CODE_NAMES = {SERVED: "served", REFUSED: "refused", FAILED: "failed"}


def frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """Return one frame of the client protocol."""
    return HEADER.pack(5 + len(payload), kind, stream) + payload


def fields(values: Mapping[str, str]) -> bytes:
    """Return the encoded fields of a frame."""
    parts = [bytes([len(values)])]
    for name, value in values.items():
        raw = value.encode()
        parts.append(bytes([len(name)]) + name.encode() + struct.pack(">H", len(raw)) + raw)
    return b"".join(parts)


def read_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Return the fields at the start of a payload, and the bytes after them."""
    values: dict[str, str] = {}
    offset = 1
    for _ in range(payload[0]):
        end = offset + 1 + payload[offset]
        (size,) = struct.unpack_from(">H", payload, end)
        values[payload[offset + 1 : end].decode()] = payload[end + 2 : end + 2 + size].decode()
        offset = end + 2 + size
    return values, payload[offset:]


def split_frames(buffer: bytearray) -> list[tuple[int, int, bytes]]:
    """Remove the whole frames from a buffer, and return type, stream and payload of each."""
    found = []
    while len(buffer) >= HEADER.size:
        length, kind, stream = HEADER.unpack_from(buffer)
        if len(buffer) < 4 + length:
            break
        found.append((kind, stream, bytes(buffer[HEADER.size : 4 + length])))
        del buffer[: 4 + length]
    return found


def answer_line(ref: str, word: str, values: str = "-", body: bytes = b"") -> bytes:
    """Return a database's answer."""
    return f"{ref} {word} {values} {len(body)}\r\n".encode() + body + b"\r\n"
