"""Client protocol: frames are parsed however their bytes are split, and each stream is used only once."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.policy.interface import Tenant
from hollowhitch.protocol import frames
from tests.conftest import make_controller_settings, make_query_class, random_chunks

VALIDATOR = frames.RequestValidator(
    make_controller_settings(make_query_class("q"), tenants=(Tenant("acme", 1.0, 1.0),))
)
VALID_FIELDS = {
    "service": "q",
    "ref": "9b1f03aa5c7e2d41",
    "allow": "1500",
    "project": "acme",
    "effort": "820.0",
    "need_mb": "96",
    "lookup": "7f3a9c21e0b4d655",
}


def request(stream: int, fields: dict[str, str] | None = None, body: bytes = b"select 1") -> bytes:
    return frames.format_frame(frames.REQUEST, stream, frames.format_fields(fields or VALID_FIELDS) + body)


def payload(body: bytes) -> bytes:
    return frames.format_fields(VALID_FIELDS) + body


def parse(fields: dict[str, str], statement: bytes = b"select 1 from s_17.t") -> frames.ParsedQuery:
    return frames.parse_query(frames.format_fields(fields) + statement, VALIDATOR)


def test_request_is_parsed():
    (event,) = frames.ClientProtocol().feed(request(7, body=b"select 1 from s_17.t"))
    query = frames.parse_query(event.payload, VALIDATOR)
    assert (event.stream, query.statement) == (7, b"select 1 from s_17.t")
    assert (query.ref, query.idempotency_key) == (VALID_FIELDS["ref"], None)
    arrival = query.arrival
    assert (arrival.expires_in_us, arrival.cost_us, arrival.memory_mb) == (1_500_000, 820_000, 96.0)
    assert arrival.data_set == 17 and not arrival.is_retry and arrival.tenant == "acme"


# Guards against heads of very many short fields, which would take twenty times their size.
def test_only_the_fields_of_the_protocol_are_kept():
    more = {f"f{number}": "v" for number in range(255 - len(VALID_FIELDS))}
    fields, _ = frames.parse_fields(frames.format_fields({**VALID_FIELDS, **more}), frames.REQUEST_FIELDS)
    assert fields == VALID_FIELDS
    with pytest.raises(frames.FieldError, match="twice"):
        frames.parse_fields(b"\x02" + 2 * b"\x01f\0\x01v", frames.REQUEST_FIELDS)


@pytest.mark.parametrize(
    "change,field",
    [
        ({"service": "ghost"}, "service"),
        ({"ref": "x y"}, "ref"),
        ({"allow": "soon"}, "allow"),
        ({"effort": "nan"}, "effort"),
        ({"effort": "1e9"}, "effort"),
        ({"allow": "99999999"}, "allow"),
        ({"need_mb": "32769"}, "need_mb"),
        ({"project": "ghost"}, "project"),
        ({"need_mb": "-1"}, "need_mb"),
        ({"replay": "a,b=c"}, "replay"),
    ],
)
def test_error_names_the_unusable_field(change, field):
    with pytest.raises(frames.FieldError, match=field):
        parse({**VALID_FIELDS, **change})


def test_fields_past_the_end_of_a_frame_invalidate_only_that_request():
    protocol = frames.ClientProtocol()
    bad = frames.format_frame(frames.REQUEST, 1, b"\x02\x05servi")
    first, second = protocol.feed(bad + request(2))
    with pytest.raises(frames.FieldError):
        frames.parse_query(first.payload, VALIDATOR)
    assert frames.parse_query(second.payload, VALIDATOR).ref == VALID_FIELDS["ref"]


@pytest.mark.parametrize(
    "raw", [b"\0\0\0\4\1\0\0\0\1", b"\0\4\0\1\1", b"\0\0\0\5\x63\0\0\0\1", b"\0\0\0\5\1\0\0\0\0"]
)
def test_invalid_frame_breaks_the_connection(raw):
    protocol = frames.ClientProtocol()
    assert isinstance(protocol.feed(raw)[-1], frames.ProtocolViolation)
    assert protocol.feed(request(1)) == [] and protocol.broken


def test_streams_are_used_once_and_open_requests_are_limited():
    protocol = frames.ClientProtocol()
    protocol.feed(request(1))
    assert protocol.feed(request(1)) == [frames.DuplicateStream(1)]
    protocol.close_stream(1)
    assert protocol.feed(request(1)) == [frames.DuplicateStream(1)]
    events = [protocol.feed(request(n))[0] for n in range(2, 40)]
    over_limit = [e for e in events if isinstance(e, frames.BadRequest)]
    assert len(over_limit) == 38 - frames.MAX_OPEN_REQUESTS


@pytest.mark.parametrize("size", [20, 5000])
def test_frame_without_buffer_space_is_refused_and_the_next_one_parsed(size):
    protocol = frames.ClientProtocol()
    raw = request(1, body=b"x" * 9000)
    protocol.buffer.write(raw[:size])
    events = protocol.buffer_updated(0, lambda length: length != len(raw) - 4)
    assert [(type(e), e.stream) for e in events] == [(frames.BadRequest, 1)]
    assert protocol.feed(raw[size:] + request(2)) == [frames.Request(2, payload(b"select 1"))]


STEP = st.one_of(
    st.tuples(st.just("request"), st.integers(1, 6), st.binary(max_size=9000)),
    st.tuples(st.just("cancel"), st.integers(0, 6), st.just(b"")),
    st.tuples(st.just("ready"), st.integers(0, 6), st.just(b"")),
    st.tuples(st.just("answer"), st.integers(1, 6), st.just(b"")),
    st.tuples(st.just("arbitrary"), st.just(0), st.binary(min_size=9, max_size=40)),
)


@given(st.lists(STEP, max_size=30), st.data())
def test_connection_behaves_as_its_model(steps, data):
    """The model has the open and used streams; the bytes are split at random, and some are arbitrary."""
    protocol, open_streams, used_streams = frames.ClientProtocol(), set(), set()

    def feed(raw: bytes) -> list[frames.FrameEvent]:
        return [e for piece in random_chunks(data, raw) for e in protocol.feed(piece)]

    for step, stream, body in steps:
        if protocol.broken:
            assert feed(request(99)) == []
            return
        if step == "request":
            events = feed(request(stream, body=body))
            is_new = stream not in open_streams | used_streams
            assert events == [
                frames.Request(stream, payload(body)) if is_new else frames.DuplicateStream(stream)
            ]
            open_streams |= {stream} if is_new else set()
        elif step == "cancel":
            assert feed(frames.format_frame(frames.CANCEL, stream)) == [frames.Cancel(stream)]
        elif step == "ready":
            assert feed(frames.format_frame(frames.READINESS_CHECK, stream, b"\0")) == [
                frames.ReadinessCheck(stream)
            ]
        elif step == "answer" and stream in open_streams:
            protocol.close_stream(stream)
            open_streams.remove(stream)
            used_streams.add(stream)
        elif step == "arbitrary":
            for event in feed(body):  # the bytes may happen to be a valid frame
                if isinstance(event, frames.Request | frames.BadRequest):
                    open_streams.add(event.stream)
        assert protocol.broken or protocol.open_streams == open_streams
