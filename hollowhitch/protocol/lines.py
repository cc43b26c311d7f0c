"""Engine protocol: the exchanges on one connection, from a request to the last page of its result.

Requests and answers start with a line of words. A body may follow, whose length is the last word of the line.
"""

from __future__ import annotations

from dataclasses import dataclass

from hollowhitch.policy.interface import LoadReport, Outcome
from hollowhitch.protocol.buffer import ReceiveBuffer
from hollowhitch.settings import parse_report

# Limits on the line and the body of one answer, and on a whole result. Exceeding one is a protocol error.
MAX_LINE_BYTES, MAX_PAGE_BYTES = 4096, 6_000
MAX_RESULT_BYTES, MAX_PAGES = 48_000, 1_000
MAX_USED_REFS = 512  # refs of ended exchanges that are remembered per connection, so that none is used again

# Outcomes of an exchange without a result, by the word of the answer.
OUTCOMES = {"full": Outcome.FULL, "moot": Outcome.NEVER_SENT, "failed": Outcome.ERROR}


class LineError(ValueError):
    """Bytes that are not a valid answer; nothing after them can be parsed."""


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The end of an exchange."""

    ref: str
    outcome: Outcome
    report: LoadReport | None  # None: the engine sent none
    body: bytes  # the whole result if the outcome is OK, else empty
    reason: str = ""  # details of an error, for the log


class Exchange:
    """Progress of one request's result, or of a health probe.

    `pages` is empty until the first page arrives. From then on it holds the pages in order, and None for each
    of the `missing_pages`.
    """

    __slots__ = ("is_probe", "pages", "missing_pages", "size_bytes", "report")

    def __init__(self, is_probe: bool = False) -> None:
        self.is_probe = is_probe
        self.pages: list[bytes | None] = []
        self.missing_pages = self.size_bytes = 0
        self.report: LoadReport | None = None


def parse_answer_fields(text: str) -> dict[str, str]:
    """Return the fields in a text of the form `name=value,name=value`; `-` stands for no fields.

    Raise LineError for a field without a value and for a name that stands twice.
    """
    if text == "-":
        return {}
    fields: dict[str, str] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not separator or name in fields:
            raise LineError(f"invalid field {pair[:40]!r}")
        fields[name] = value
    return fields


def parse_page_number(fields: dict[str, str], name: str) -> int:
    """Return the number of a page, or of all pages, in a field. Raise LineError if it is missing or invalid.

    There is no default: a field whose name arrives damaged must not turn a result into a shorter one.
    """
    text = fields.get(name, "")
    if not (text.isascii() and text.isdecimal()):
        raise LineError(f"{name} is not a number: {text[:20]!r}")
    return int(text)


def has_whole_rows(page: bytes) -> bool:
    """Return whether a page is UTF-8 text of complete rows with three tab-separated columns."""
    if not page:
        return True
    try:
        page.decode()
    except UnicodeDecodeError:
        return False
    return page.endswith(b"\n") and all(r.count(b"\t") == 2 for r in page[:-1].split(b"\n"))


class EngineProtocol:
    """Parser and exchange state of one engine connection.

    `output` collects the messages that the protocol itself has to send; the caller sends and clears it.
    Load reports in answers are ignored unless `with_reports` is true.
    """

    def __init__(self, with_reports: bool) -> None:
        self.buffer = ReceiveBuffer()
        self.output = bytearray()
        self.open_exchanges: dict[str, Exchange] = {}
        self._used_refs: dict[str, None] = {}  # an ordered set, the oldest first
        self._with_reports = with_reports
        # Ref, word, fields and body length of the answer whose body is incomplete; None between answers.
        self._header: tuple[str, str, dict[str, str], int] | None = None
        self._searched_bytes = 0  # buffered bytes that are known to contain no line end
        self.protocol_error = ""  # why no further answer can be parsed; empty while there is no error

    def can_use_ref(self, ref: str) -> bool:
        """Return whether an attempt with this ref may be sent on this connection.

        Each ref is sent only once on a connection, since a late answer to an old attempt could be taken for
        the answer to a new one.
        """
        return ref not in self.open_exchanges and ref not in self._used_refs

    def start_request(self, ref: str, fields: dict[str, str], statement: bytes) -> bytes:
        """Open an exchange and return the request to send."""
        self.open_exchanges[ref] = Exchange()
        field_list = ",".join(f"{name}={value}" for name, value in fields.items()) or "-"
        return b"REQ %s %s %d\r\n%s\r\n" % (ref.encode(), field_list.encode(), len(statement), statement)

    def start_probe(self, tag: str) -> bytes:
        """Open an exchange for a health probe, with `tag` as its ref, and return the request to send."""
        self.open_exchanges[tag] = Exchange(is_probe=True)
        return b"HELO %s\r\n" % tag.encode()

    def cancel(self, ref: str) -> bytes:
        """Close an exchange whose result is no longer wanted, and return the message that tells the engine.

        The message is STOP before the first page, which cancels the query, and END after it, which releases
        the other pages. It is empty if the exchange is not open.
        """
        exchange = self._close_exchange(ref)
        if exchange is None:
            return b""
        return b"%s %s\r\n" % (b"END" if exchange.pages else b"STOP", ref.encode())

    def feed(self, data: bytes) -> list[ExchangeResult]:
        """Return the exchanges that `data` ends."""
        self.buffer.write(data)
        return self.buffer_updated(0)

    def buffer_updated(self, count: int) -> list[ExchangeResult]:
        """Return the exchanges that end after `count` bytes were written to the buffer's free space.

        Answers before a protocol error are still handled.
        """
        self.buffer.commit(count)
        results: list[ExchangeResult] = []
        try:
            while not self.protocol_error and (answer := self._read_answer()) is not None:
                result = self._handle_answer(*answer)
                if result is not None:
                    results.append(result)
        except LineError as e:
            self.protocol_error = str(e)
        return results

    @property
    def has_incomplete_answer(self) -> bool:
        """Whether an answer has been received in part."""
        return self._header is not None or len(self.buffer) > 0

    def _close_exchange(self, ref: str) -> Exchange | None:
        exchange = self.open_exchanges.pop(ref, None)
        if exchange is not None:
            self._used_refs[ref] = None
            if len(self._used_refs) > MAX_USED_REFS:
                del self._used_refs[next(iter(self._used_refs))]
        return exchange

    def _read_answer(self) -> tuple[str, str, dict[str, str], bytes] | None:
        """Return ref, word, fields and body of the next answer; None while it is incomplete."""
        if self._header is None:
            index = self.buffer.find(b"\r\n", max(self._searched_bytes - 1, 0))
            if (index if index >= 0 else len(self.buffer)) > MAX_LINE_BYTES:
                raise LineError("answer line exceeds the size limit")
            if index < 0:
                self._searched_bytes = len(self.buffer)
                return None
            self._searched_bytes = 0
            self._header = self._parse_header(self.buffer.read(index + 2)[:-2])
        ref, word, fields, length = self._header
        if len(self.buffer) < length + 2:
            return None
        body = self.buffer.read(length)
        if self.buffer.read(2) != b"\r\n":
            raise LineError("answer body does not end after its announced length")
        self._header = None
        return ref, word, fields, body

    def _parse_header(self, line: bytes) -> tuple[str, str, dict[str, str], int]:
        try:
            ref, word, fields, length = line.decode("ascii").split(" ")
            if not length.isdigit() or int(length) > MAX_PAGE_BYTES:
                raise LineError(f"invalid answer length {length[:20]!r}")
            return ref, word, parse_answer_fields(fields), int(length)
        except (UnicodeDecodeError, ValueError) as e:
            raise LineError(f"invalid answer line {line[:100]!r}: {e}") from None

    def _handle_answer(
        self, ref: str, word: str, fields: dict[str, str], body: bytes
    ) -> ExchangeResult | None:
        exchange = self.open_exchanges.get(ref)
        if exchange is None:  # a late answer to an exchange that was cancelled or has ended
            return None
        if exchange.is_probe != (word == "well"):
            raise LineError(f"answer {word[:20]!r} does not fit what was asked")
        if self._with_reports and fields.get("stats"):
            exchange.report = parse_report(fields["stats"], ";")
        if exchange.is_probe:
            return self._finish(ref, Outcome.OK)
        if word == "data" and not exchange.pages:
            return self._handle_first_page(ref, exchange, parse_page_number(fields, "fetches"), body)
        if word == "page" and exchange.pages:
            return self._handle_page(ref, exchange, parse_page_number(fields, "fetch_no"), body)
        if word == "data":  # a duplicate of the first page
            return None
        if word not in OUTCOMES:
            raise LineError(f"unknown answer word {word[:20]!r}")
        if exchange.pages:  # a page was lost, but the query has run, whichever outcome the word stands for
            return self._finish(ref, Outcome.ERROR, f"engine answered {word} instead of a page")
        return self._finish(ref, OUTCOMES[word])

    def _handle_first_page(
        self, ref: str, exchange: Exchange, page_count: int, body: bytes
    ) -> ExchangeResult | None:
        if not 1 <= page_count <= MAX_PAGES:
            raise LineError(f"invalid page count {page_count}")
        exchange.pages, exchange.missing_pages = [None] * page_count, page_count
        for number in range(1, page_count):
            self.output += b"FETCH %s %d\r\n" % (ref.encode(), number)
        return self._handle_page(ref, exchange, 0, body)

    def _handle_page(self, ref: str, exchange: Exchange, number: int, body: bytes) -> ExchangeResult | None:
        if not 0 <= number < len(exchange.pages):
            raise LineError(f"page {number} is outside a result of {len(exchange.pages)} pages")
        if exchange.pages[number] is not None:  # a duplicate
            return None
        exchange.size_bytes += len(body)
        if exchange.size_bytes > MAX_RESULT_BYTES:
            raise LineError(f"result exceeds {MAX_RESULT_BYTES} bytes")
        if not has_whole_rows(body):
            raise LineError(f"page {number} contains incomplete rows")
        exchange.pages[number] = body
        exchange.missing_pages -= 1
        if exchange.missing_pages:
            return None
        return self._finish(ref, Outcome.OK, body=b"".join(p for p in exchange.pages if p is not None))

    def _finish(self, ref: str, outcome: Outcome, reason: str = "", body: bytes = b"") -> ExchangeResult:
        exchange = self._close_exchange(ref)
        assert exchange is not None
        if exchange.missing_pages:  # the engine still keeps pages that nobody will fetch
            self.output += b"END %s\r\n" % ref.encode()
        return ExchangeResult(ref, outcome, exchange.report, body, reason)
