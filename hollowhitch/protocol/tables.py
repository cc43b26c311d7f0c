"""From a statement to its group of tables: the number in the name of the schema that it reads or writes."""

from __future__ import annotations

import re

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
UNCOUNTED = {"staging"}


def _comment_end(text: str, at: int) -> int:
    """Where the comment that begins at `at` ends; comments nest."""
    depth = 0
    for edge in COMMENT_EDGE.finditer(text, at):
        depth += 1 if edge.group() == "/*" else -1
        if depth == 0:
            return edge.end()
    return len(text)


def tokens(text: str) -> list[tuple[str, str]]:
    """Kind and text of each token that is neither space, comment nor string (a string leaves its kind)."""
    found: list[tuple[str, str]] = []
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
            found.append(("string", ""))
        elif kind == "quoted":
            found.append(("name", word[1:-1].replace(word[0] * 2, word[0])))
        elif kind != "space":
            found.append((kind, "" if kind == "string" else word.lower()))
    return found


class _Level:
    """What is going on between two brackets."""

    def __init__(self, query: bool, wants: bool) -> None:
        self.query = query  # a FROM here names tables; in a function's brackets it does not
        self.wants = wants  # a table's name comes next
        self.listing = wants  # in a list of tables: a comma brings the next


def table_group(statement: str) -> int:
    """The group of tables that the statement reads or writes; 0 if it names none."""
    list_, levels = tokens(statement), [_Level(True, False)]
    before, i = "", 0
    while i < len(list_):
        kind, word = list_[i]
        level = levels[-1]
        if kind == "mark":
            if word == "(":
                follows = list_[i + 1] if i + 1 < len(list_) else ("", "")
                begins = follows == ("mark", "(") or (follows[0] == "word" and follows[1] in QUERY_BEGINS)
                levels.append(_Level(level.wants or (begins and level.query), level.wants and not begins))
                level.wants = False
            elif word == ")" and len(levels) > 1:
                levels.pop()
            elif word == ",":
                level.wants = level.listing
            elif word == ";":
                levels = [_Level(True, False)]
        elif kind == "word" and word in TABLE_FOLLOWS and level.query and not _dotted(list_, i):
            if not (word == "from" and before == "distinct") and not (word == "update" and before == "for"):
                level.wants = level.listing = True
        elif kind in ("word", "name") and level.wants and not (kind == "word" and word in BETWEEN):
            parts, i = _path(list_, i)
            level.wants = False
            if len(parts) > 1 and parts[-2].lower() not in UNCOUNTED and (group := GROUP.search(parts[-2])):
                return int(group.group(1))
        elif kind == "word" and word in TABLES_END:
            level.wants = level.listing = False
        before, i = word, i + 1
    return 0


def _dotted(list_: list[tuple[str, str]], i: int) -> bool:
    return (i > 0 and list_[i - 1] == ("mark", ".")) or (i + 1 < len(list_) and list_[i + 1] == ("mark", "."))


def _path(list_: list[tuple[str, str]], i: int) -> tuple[list[str], int]:
    """The parts of a dotted name that begins at i, and where its last part stands."""
    parts = [list_[i][1]]
    while i + 2 < len(list_) and list_[i + 1] == ("mark", ".") and list_[i + 2][0] in ("word", "name"):
        i += 2
        parts.append(list_[i][1])
    return parts, i
