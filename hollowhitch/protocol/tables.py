"""From a statement to its group of tables: the number in the name of the schema that it reads or writes."""

from __future__ import annotations

import re
from collections.abc import Iterator

Token = tuple[str, str]  # kind and text
END: Token = ("end", "")
DOT: Token = ("mark", ".")
TOKEN = re.compile(
    r"""(?P<space>\s+|--[^\n]*)
    |(?P<comment>/\*)
    |(?P<string>[Ee]'(?:[^'\\]|\\.|'')*(?:'|$)|'(?:[^']|'')*(?:'|$))
    |(?P<dollar>\$(?:[A-Za-z_]\w*)?\$)
    |(?P<quoted>"(?:[^"]|"")*(?:"|$)|`[^`]*(?:`|$))
    |(?P<word>[^\W\d]\w*)
    |(?P<number>\d[\w.]*)
    |(?P<mark>.)""",
    re.VERBOSE | re.DOTALL,
)
COMMENT_EDGE = re.compile(r"/\*|\*/")
GROUP = re.compile(r"_(\d{1,15})$")
# After these comes a table; DELETE, TRUNCATE and so on may put a word such as TABLE or ONLY between.
TABLE_FOLLOWS = {"from", "join", "into", "update", "table", "copy", "using", "truncate", "merge", "overwrite"}
BETWEEN = {"only", "lateral", "table", "if", "not", "exists", "into", "from", "overwrite"}
QUERY_BEGINS = {"select", "with", "values", "insert", "update", "delete", "merge"}
TABLES_END = {"where", "set", "select", "group", "order", "values", "having"}
NO_TABLE_FOLLOWS = {("distinct", "from"), ("for", "update")}  # IS DISTINCT FROM; FOR UPDATE OF
UNCOUNTED = {"staging"}


def _comment_end(text: str, at: int) -> int:
    """Where the comment that begins at `at` ends; comments nest."""
    depth = 0
    for edge in COMMENT_EDGE.finditer(text, at):
        depth += 1 if edge.group() == "/*" else -1
        if depth == 0:
            return edge.end()
    return len(text)


def tokens(text: str) -> Iterator[Token]:
    """Kind and text of each token that is neither space nor comment (a string leaves its kind only)."""
    at = 0
    while at < len(text):
        token = TOKEN.match(text, at)
        assert token is not None  # the last choice takes any character
        kind, word, at = str(token.lastgroup), token.group(), token.end()
        if kind == "comment":
            at = _comment_end(text, token.start())
        elif kind == "dollar":
            end = text.find(word, at)
            at = len(text) if end < 0 else end + len(word)
            yield "string", ""
        elif kind == "quoted":
            yield "name", word[1:-1].replace(word[0] * 2, word[0])
        elif kind != "space":
            yield kind, "" if kind == "string" else word.lower()


class _Reader:
    """Tokens as they are wanted, with a look ahead: a large statement is read only up to its first table."""

    def __init__(self, text: str) -> None:
        self._tokens = tokens(text)
        self._ahead: list[Token] = []

    def peek(self, n: int = 0) -> Token:
        while len(self._ahead) <= n:
            self._ahead.append(next(self._tokens, END))
        return self._ahead[n]

    def next(self) -> Token:
        token = self.peek()
        del self._ahead[0]
        return token

    def path(self, first: str) -> list[str]:
        """The parts of the dotted name that begins with `first`."""
        parts = [first]
        while self.peek() == DOT and self.peek(1)[0] in ("word", "name"):
            self.next()
            parts.append(self.next()[1])
        return parts


class _Level:
    """What is going on between two brackets."""

    def __init__(self, query: bool, wants: bool) -> None:
        self.query = query  # a FROM here names tables; in a function's brackets it does not
        self.wants = wants  # a table's name comes next
        self.listing = wants  # in a list of tables: a comma brings the next


def table_group(statement: str) -> int:
    """The group of tables that the statement reads or writes; 0 if it names none."""
    reader, levels = _Reader(statement), [_Level(True, False)]
    before: Token = END
    while (token := reader.next()) != END:
        (kind, word), level = token, levels[-1]
        if kind == "mark":
            _mark(word, levels, reader)
        elif kind == "word" and word in TABLE_FOLLOWS and level.query and DOT not in (before, reader.peek()):
            if (before[1], word) not in NO_TABLE_FOLLOWS:
                level.wants = level.listing = True
        elif kind in ("word", "name") and level.wants and not (kind == "word" and word in BETWEEN):
            parts = reader.path(word)
            level.wants = False
            if len(parts) > 1 and parts[-2].lower() not in UNCOUNTED and (group := GROUP.search(parts[-2])):
                return int(group.group(1))
        elif kind == "word" and word in TABLES_END:
            level.wants = level.listing = False
        before = token
    return 0


def _mark(mark: str, levels: list[_Level], reader: _Reader) -> None:
    level = levels[-1]
    if mark == "(":
        kind, word = reader.peek()
        begins = word == "(" or (kind == "word" and word in QUERY_BEGINS)
        levels.append(_Level(level.wants or (begins and level.query), level.wants and not begins))
        level.wants = False
    elif mark == ")" and len(levels) > 1:
        levels.pop()
    elif mark == ",":
        level.wants = level.listing
    elif mark == ";":
        levels[:] = [_Level(True, False)]
