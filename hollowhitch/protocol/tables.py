"""The data set of an SQL statement: the number in the name of a schema that the statement reads or writes.

Statements are bytes, of which only ASCII characters have a meaning; all others count as letters. Strings,
comments and lists of plain columns are skipped by the regular expressions, in time that is linear in their
length and without memory of their size. The number of other tokens is limited.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

Token = tuple[str, str]  # kind and text
END: Token = ("end", "")
DOT: Token = ("symbol", ".")
# Possessive quantifiers keep a long string or name from taking memory for each of its characters.
TOKEN = re.compile(
    rb"""(?P<space>\s++|--[^\n]*+)
    |(?P<comment>/\*)
    |(?P<string>[Ee]'(?:[^'\\]++|\\.|'')*+(?:'|\Z)|'(?:[^']++|'')*+(?:'|\Z))
    |(?P<dollar>\$(?:[A-Za-z_]\w*+)?\$)
    |(?P<quoted>"(?:[^"]++|"")*+(?:"|\Z)|`[^`]*+(?:`|\Z))
    |(?P<word>[A-Za-z_\x80-\xff][\w\x80-\xff]*+)
    |(?P<number>\d[\w.\x80-\xff]*+)
    |(?P<symbol>.)""",
    re.VERBOSE | re.DOTALL,
)
COMMENT_DELIMITER = re.compile(rb"/\*|\*/")
DATA_SET_SUFFIX = re.compile(r"_([0-9]{1,15})\Z")  # the number at the end of the name of a schema
# Limits up to which a statement is read: the number of its tokens and comment delimiters, and the bytes of
# its lists of plain columns. A statement whose first table comes later counts as one without a data set.
MAX_TOKENS, MAX_LIST_BYTES = 1_000, 65_536
# A table name follows these words. Statements such as DELETE and TRUNCATE may put a word of TABLE_MODIFIERS
# in between.
TABLE_KEYWORDS = {
    "from",
    "join",
    "into",
    "update",
    "table",
    "copy",
    "using",
    "truncate",
    "merge",
    "overwrite",
}
TABLE_MODIFIERS = {"only", "lateral", "table", "if", "not", "exists", "into", "from", "overwrite"}
# One of these words after an opening parenthesis starts a subquery.
QUERY_KEYWORDS = {"select", "with", "values", "insert", "update", "delete", "merge"}
# These words end a list of tables.
CLAUSE_KEYWORDS = {"where", "set", "select", "group", "order", "values", "having"}
LIST_STARTS = {"select", ","}  # tokens after which a list of columns may follow
# Pairs of words whose second word is not a table keyword: IS DISTINCT FROM and FOR UPDATE OF.
NON_TABLE_PAIRS = {("distinct", "from"), ("for", "update")}
IGNORED_SCHEMAS = {"staging"}  # schemas that belong to no data set
# Items of a list that can name no table, each with its comma: plain names and numbers.
PLAIN_LIST = re.compile(
    rb"(?:\s*+(?!(?:%s)\b)[\w.\x80-\xff]++\s*+,)++"
    % "|".join(sorted(TABLE_KEYWORDS | CLAUSE_KEYWORDS | {"distinct", "for"})).encode(),
    re.IGNORECASE,
)


class Tokenizer:
    """Iterator over the tokens of a statement, except space and comments; it ends early after MAX_TOKENS.

    The text of a string is left empty, the text of a quoted name is unquoted, and other texts are lowercase.
    """

    def __init__(self, statement: bytes) -> None:
        self.token_count = 0
        self._text, self._offset = statement, 0
        self._list_bytes_left = MAX_LIST_BYTES

    def __iter__(self) -> Iterator[Token]:
        return self

    def __next__(self) -> Token:
        """Return the next token."""
        while self._offset < len(self._text) and self.token_count < MAX_TOKENS:
            match = TOKEN.match(self._text, self._offset)
            assert match is not None  # the last alternative matches any character
            kind, self._offset = str(match.lastgroup), match.end()
            self.token_count += 1
            match kind:
                case "space":
                    continue
                case "comment":
                    self._offset = self._comment_end(match.start())
                    continue
                case "string":
                    return "string", ""
                case "dollar":
                    return self._skip_dollar_string(match.group())
            return _name_or_word(kind, match.group().decode("utf-8", "replace"))
        raise StopIteration

    def skip_plain_list(self) -> None:
        """Skip the list items that follow, as far as they are plain names and numbers."""
        match = PLAIN_LIST.match(self._text, self._offset, self._offset + self._list_bytes_left)
        if match is not None:
            self._list_bytes_left -= match.end() - self._offset
            self._offset = match.end()

    def _comment_end(self, start: int) -> int:
        """Return the offset of the end of the comment that begins at `start`. Comments may be nested."""
        depth = 0
        for delimiter in COMMENT_DELIMITER.finditer(self._text, start):
            depth += 1 if delimiter.group() == b"/*" else -1
            self.token_count += 1
            if depth == 0:
                return delimiter.end()
            if self.token_count >= MAX_TOKENS:
                break
        return len(self._text)

    def _skip_dollar_string(self, delimiter: bytes) -> Token:
        end = self._text.find(delimiter, self._offset)
        self._offset = len(self._text) if end < 0 else end + len(delimiter)
        return "string", ""


def _name_or_word(kind: str, text: str) -> Token:
    if kind == "quoted":
        return "name", text[1:-1].replace(text[0] * 2, text[0])
    return kind, text.lower()


class _TokenReader:
    """Tokens on demand, with lookahead, so that a large statement is only read up to its first table."""

    def __init__(self, statement: bytes) -> None:
        self._tokens = Tokenizer(statement)
        self._lookahead: list[Token] = []

    def skip_plain_list(self) -> None:
        """Skip plain list items, unless the next token was looked at already."""
        if not self._lookahead:
            self._tokens.skip_plain_list()

    def peek(self, offset: int = 0) -> Token:
        """Return the token after the next `offset` ones without consuming it; END after the last token."""
        while len(self._lookahead) <= offset:
            self._lookahead.append(next(self._tokens, END))
        return self._lookahead[offset]

    def next(self) -> Token:
        """Consume and return the next token; END after the last token."""
        token = self.peek()
        del self._lookahead[0]
        return token

    def dotted_name(self, first: str) -> list[str]:
        """Consume the rest of the dotted name that begins with `first` and return its parts."""
        parts = [first]
        while self.peek() == DOT and self.peek(1)[0] in ("word", "name"):
            self.next()
            parts.append(self.next()[1])
        return parts


class _Scope:
    """Parser state inside one pair of parentheses, or outside all of them."""

    def __init__(self, in_query: bool, expects_table: bool) -> None:
        self.in_query = in_query  # whether FROM precedes a table, unlike in the arguments of a function
        self.expects_table = expects_table  # whether the next name is that of a table
        self.in_table_list = expects_table  # whether a comma is followed by another table


def find_data_set(statement: bytes) -> int:
    """Return the data set of the first table in a numbered schema, or 0 if there is none.

    It is also 0 if that table comes after MAX_TOKENS tokens or MAX_LIST_BYTES of plain lists.
    """
    reader, scopes = _TokenReader(statement), [_Scope(True, False)]
    previous: Token = END
    while (token := reader.next()) != END:
        (kind, word), scope = token, scopes[-1]
        if kind == "symbol":
            _handle_symbol(word, scopes, reader)
        elif (
            kind == "word"
            and word in TABLE_KEYWORDS
            and scope.in_query
            and DOT not in (previous, reader.peek())
        ):
            if (previous[1], word) not in NON_TABLE_PAIRS:
                scope.expects_table = scope.in_table_list = True
        elif (
            kind in ("word", "name")
            and scope.expects_table
            and not (kind == "word" and word in TABLE_MODIFIERS)
        ):
            parts = reader.dotted_name(word)
            scope.expects_table = False
            if (
                len(parts) > 1
                and parts[-2].lower() not in IGNORED_SCHEMAS
                and (suffix := DATA_SET_SUFFIX.search(parts[-2]))
            ):
                return int(suffix.group(1))
        elif kind == "word" and word in CLAUSE_KEYWORDS:
            scope.expects_table = scope.in_table_list = False
        if word in LIST_STARTS and not scopes[-1].in_table_list:
            reader.skip_plain_list()
        previous = token
    return 0


def _handle_symbol(symbol: str, scopes: list[_Scope], reader: _TokenReader) -> None:
    scope = scopes[-1]
    if symbol == "(":
        kind, word = reader.peek()
        starts_query = word == "(" or (kind == "word" and word in QUERY_KEYWORDS)
        scopes.append(
            _Scope(
                scope.expects_table or (starts_query and scope.in_query),
                scope.expects_table and not starts_query,
            )
        )
        scope.expects_table = False
    elif symbol == ")" and len(scopes) > 1:
        scopes.pop()
    elif symbol == ",":
        scope.expects_table = scope.in_table_list
    elif symbol == ";":
        scopes[:] = [_Scope(True, False)]
