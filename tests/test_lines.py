"""Engine protocol: an exchange ends once, with its whole result in order or without a result."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.policy.interface import Outcome
from hollowhitch.protocol.lines import MAX_LINE_BYTES, EngineProtocol, ExchangeResult, has_whole_rows
from tests.conftest import random_chunks

A, B = "00000000000000aa", "00000000000000bb"  # refs of two exchanges


def answer(ref: str, word: str, fields: str = "-", body: bytes = b"") -> bytes:
    return f"{ref} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n"


def protocol_with_requests(*refs: str) -> EngineProtocol:
    protocol = EngineProtocol(with_reports=True)
    for ref in refs:
        protocol.start_request(ref, {"class": "q", "wait": "90"}, b"select 1")
    return protocol


def page(number: int) -> bytes:
    return b"%d\tb\tc\n" % number


def test_request_line_has_fields_and_length():
    request = EngineProtocol(True).start_request(A, {"class": "q", "wait": "90", "once": "k"}, b"select 1")
    assert request == b"REQ 00000000000000aa class=q,wait=90,once=k 8\r\nselect 1\r\n"


def test_pages_that_arrive_in_any_order_make_an_ordered_result():
    protocol = protocol_with_requests(A)
    assert protocol.feed(answer(A, "data", "fetches=3,stats=cpu:0.5;x0:nan", page(0))) == []
    assert bytes(protocol.output) == f"FETCH {A} 1\r\nFETCH {A} 2\r\n".encode()
    assert protocol.feed(answer(A, "page", "fetch_no=2", page(2))) == []
    (result,) = protocol.feed(answer(A, "page", "fetch_no=1", page(1)))
    assert (result.outcome, result.body) == (Outcome.OK, page(0) + page(1) + page(2))
    # NaN in a load report is ignored, so that it never reaches the controller's averages.
    assert result.report.cpu_share == 0.5 and result.report.memory_share is None


@pytest.mark.parametrize(
    "raw",
    [answer(A, "failed"), answer(A, "full")],
)
def test_lost_page_is_an_error_whichever_word_is_answered(raw):
    """The query has run, so its outcome must not be one after which it may be repeated safely."""
    protocol = protocol_with_requests(A)
    protocol.feed(answer(A, "data", "fetches=3", page(0)))
    protocol.output.clear()
    (result,) = protocol.feed(raw)
    assert result.outcome is Outcome.ERROR and result.body == b""
    assert bytes(protocol.output) == f"END {A}\r\n".encode()
    assert protocol.feed(answer(A, "page", "fetch_no=1", page(1))) == []


@pytest.mark.parametrize(
    "word,outcome",
    [("full", Outcome.FULL), ("moot", Outcome.NEVER_SENT), ("failed", Outcome.ERROR)],
)
def test_answer_words_map_to_outcomes(word, outcome):
    (result,) = protocol_with_requests(A).feed(answer(A, word))
    assert result.outcome is outcome


def test_late_answer_to_a_cancelled_exchange_is_ignored():
    """A cancelled ref is not sent on its connection again, so a late answer cannot match a new exchange."""
    protocol = protocol_with_requests(A)
    assert protocol.cancel(A) == f"STOP {A}\r\n".encode() and protocol.cancel(A) == b""
    assert not protocol.can_use_ref(A) and protocol.can_use_ref(B)
    assert protocol.feed(answer(A, "data", "fetches=1", page(0))) == [] and not protocol.output


def test_exchange_cancelled_between_pages_releases_the_rest():
    protocol = protocol_with_requests(A)
    protocol.feed(answer(A, "data", "fetches=2", page(0)))
    assert protocol.cancel(A) == f"END {A}\r\n".encode()


@pytest.mark.parametrize(
    "raw",
    [
        b"x" * (MAX_LINE_BYTES + 1),
        b"three words only\r\n",
        b"a data - 99999999\r\n",
        b"a data - x\r\n",
        b"\xff b c 0\r\n",
        b"a data - 1\r\nabc\r\n",
        answer(A, "odd"),
        answer(A, "data", "fetches=x", page(0)),
        answer(A, "data", "fetches=2", b"half a row"),
        answer(A, "data", "fetches=1", b"a\tb\t\xff\n"),
        answer(A, "data", "fetches=9", page(0)) + answer(A, "page", "fetch_no=9", page(1)),
        answer(A, "data", "fetches=9", page(0)) + answer(A, "page", "-", page(1)),
        answer(A, "data", "fetches=99", page(0))
        + b"".join(answer(A, "page", f"fetch_no={n}", b"%05990d\t\t\n" % 0) for n in range(1, 10)),
        answer(A, "data", "fetches=1", b"%06000d\t\t\n" % 0),
        answer(A, "data", "fetches=3,fetches=1", page(0)),
        answer(A, "data", "fetches=+1", page(0)),
    ],
    ids=range(16),
)
def test_invalid_answer_invalidates_what_follows_but_not_earlier_answers(raw):
    protocol = protocol_with_requests(A, B)
    (result,) = protocol.feed(answer(B, "data", "fetches=1", page(0)) + raw)
    assert (result.ref, result.outcome) == (B, Outcome.OK) and protocol.protocol_error
    assert protocol.feed(answer(A, "data", "fetches=1", page(0))) == []


# Guards against serving the first page as the whole result when the number of pages arrives damaged.
@pytest.mark.parametrize("fields", ["-", "stats=cpu:0.5", "fetchqs=3,stats=cpu:0.5", "fetchesx3", "fetches="])
def test_a_result_without_its_number_of_pages_is_not_served(fields):
    protocol = protocol_with_requests(A)
    assert protocol.feed(answer(A, "data", fields, page(0))) == [] and protocol.protocol_error


# Guards against serving an empty result for an answer that belongs to a probe.
def test_an_answer_to_a_probe_is_no_result_of_a_request():
    protocol = protocol_with_requests(A)
    assert protocol.feed(answer(A, "well")) == [] and protocol.protocol_error


def test_duplicate_and_unrequested_answers_are_dropped():
    """A duplicate, or an answer with an unknown ref, does not affect any result."""
    protocol, unknown = protocol_with_requests(A), answer("00000000000000cc", "data", "fetches=3", page(7))
    first, second = answer(A, "data", "fetches=2", page(0)), answer(A, "page", "fetch_no=1", page(1))
    assert (
        protocol.feed(unknown + first + first) == [] and bytes(protocol.output) == f"FETCH {A} 1\r\n".encode()
    )
    assert protocol.feed(unknown + answer(A, "page", "fetch_no=0", page(0))) == []
    (result,) = protocol.feed(second + second + first)
    assert (result.outcome, result.body) == (Outcome.OK, page(0) + page(1)) and not protocol.protocol_error


def test_incomplete_answer_is_detected():
    protocol, raw = protocol_with_requests(A), answer(A, "data", "fetches=1", page(0))
    for cut in (3, len(raw) - 4):
        protocol.feed(raw[:cut])
        assert protocol.has_incomplete_answer
        raw = raw[cut:]
    protocol.feed(raw)
    assert not protocol.has_incomplete_answer


def test_has_whole_rows():
    assert has_whole_rows(b"") and has_whole_rows(b"a\tb\tc\n\t\t\n")
    assert (
        not has_whole_rows(b"a\tb\tc")
        and not has_whole_rows(b"a\tb\n")
        and not has_whole_rows(b"a\tb\tc\td\n")
    )


STEP = st.tuples(
    st.sampled_from(["request", "data", "page", "failed", "full", "cancel"]),
    st.sampled_from([A, B]),
    st.integers(0, 4),
)


@given(st.lists(STEP, max_size=30), st.data())
def test_connection_behaves_as_its_model(steps, data):
    """The model has the pages received so far for each open ref; the bytes are split at random."""
    protocol, model, used_refs = EngineProtocol(True), {}, set()

    def feed(raw: bytes) -> list[ExchangeResult]:
        return [e for piece in random_chunks(data, raw) for e in protocol.feed(piece)]

    for step, ref, number in steps:
        pages = model.get(ref)
        if step == "request":
            assert protocol.can_use_ref(ref) == (ref not in used_refs)
            if ref not in used_refs:
                protocol.start_request(ref, {}, b"")
                model[ref] = None
                used_refs.add(ref)
            continue
        if step == "cancel":
            word = b"" if ref not in model else b"END" if pages else b"STOP"
            assert protocol.cancel(ref) == (word + b" %s\r\n" % ref.encode() if word else b"")
            model.pop(ref, None)
            continue
        fields = {"data": f"fetches={number}", "page": f"fetch_no={number}"}.get(step, "-")
        results = feed(answer(ref, step, fields, page(number) if step in ("data", "page") else b""))
        expected_outcome, is_invalid = None, False
        if ref not in model:
            pass
        elif step == "data" and pages is None and number >= 1:
            model[ref] = [page(number)] + [None] * (number - 1)
            expected_outcome = Outcome.OK if number == 1 else None
        elif step == "page" and pages and number < len(pages):
            previous, pages[number] = pages[number], page(number)
            expected_outcome = None if None in pages or previous else Outcome.OK
        elif step in ("full", "failed"):
            expected_outcome = Outcome.FULL if step == "full" and pages is None else Outcome.ERROR
        else:  # a page count of 0, or a page that was not requested; a repeated first page is valid
            is_invalid = step == "page" or pages is None
        assert bool(protocol.protocol_error) == is_invalid
        if is_invalid:
            assert feed(answer(ref, "failed")) == []
            return
        assert [r.outcome for r in results] == ([expected_outcome] if expected_outcome else [])
        if expected_outcome:
            expected_body = b"".join(p for p in model[ref] or [] if p)
            assert results[0].body == (expected_body if expected_outcome is Outcome.OK else b"")
            del model[ref]
        assert set(protocol.open_exchanges) == set(model)
