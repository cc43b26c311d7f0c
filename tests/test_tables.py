"""The data set that a statement refers to."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hollowhitch.protocol import tables
from hollowhitch.protocol.tables import find_data_set


@pytest.mark.parametrize(
    "statement,data_set",
    [
        ("select a from sales_17.orders", 17),
        ("SELECT x_3.a FROM staging.t_4 x_3, fin_9.b", 9),
        ("select extract(year from t_9.c) from a_4.b t_9", 4),
        ("insert into staging.x_1 select 1 from (select 1 from /* b_2.c /* */ */ 'd_3.e', \"Q_8\".t)", 8),
        ("select 'from a_1.b' -- from c_2.d\n from e_5.f", 5),
        ("select $$ from a_1.b $$, $t$ from a_2.b $t$ from e_5.f", 5),
        ("select 'it''s from a_1.b' from e_5.f", 5),
        ("update s_6.t set a = b_2.c", 6),
        ("delete from only s_7.t where x in (select y from z_8.q)", 7),
        ("with x_1 as (select * from k_12.t) select * from x_1 as t_4", 12),
        ("merge into staging.t using b_2.x on 1 = 1", 2),
        ("copy z_11.t from 's3'", 11),
        ("select a.b from staging.a join staging.b on a_3.x = b_4.y, c_5.d", 5),
        ("select c_1.x from cat.sales_2.t c_1", 2),
        ("select * from (staging.a join s_3.b on true)", 3),
        ("select a is distinct from b_1.c from d_2.e for update of x_3.y", 2),
        ("insert into s_1.t (c_2, d_3) values ('x')", 1),
        ("select 1", 0),
        ("", 0),
        ("select a_1.b", 0),
        ("select 'unclosed from a_1.b", 0),
        ("/* unclosed from a_1.b", 0),
    ],
)
def test_data_set_of_a_statement(statement, data_set):
    assert find_data_set(statement.encode()) == data_set


def test_large_statement_is_only_read_up_to_its_first_table():
    """Reading a statement of 256 KB to its end would block the event loop for all other connections."""
    statement = b"select a from s_4.t where x in (" + b"1," * 100_000 + b"1)"
    data_set, token_count = count_tokens(statement)
    assert data_set == 4 and token_count < 20


def count_tokens(statement: bytes) -> tuple[int, int]:
    """Return the data set of a statement, and the number of tokens read for it."""
    tokenizers = []

    class RecordedTokenizer(tables.Tokenizer):
        def __init__(self, text: bytes) -> None:
            super().__init__(text)
            tokenizers.append(self)

    with pytest.MonkeyPatch.context() as m:
        m.setattr(tables, "Tokenizer", RecordedTokenizer)
        data_set = find_data_set(statement)
    return data_set, tokenizers[0].token_count


# Guards against long statements that keep the event loop for half a second each.
@pytest.mark.parametrize(
    "statement,data_set",
    [
        (b"select " + b"1," * 30_000 + b"1 from sales_1.orders", 1),
        (b"select " + b"1," * 125_000 + b"1 from sales_1.orders", 0),
        (b"select " + b"a.b , " * 10_000 + b"c from sales_2.orders", 2),
        (b"select (" * 30_000, 0),
        (b"/*" * 100_000, 0),
        (b"from " * 50_000, 0),
        (b"a+" * 100_000, 0),
        (b"insert into staging.t select '" + b"from a_1.b ''" * 20_000 + b"' from s_3.t", 3),
    ],
)
def test_few_tokens_of_a_long_statement_are_looked_at(statement, data_set):
    found, token_count = count_tokens(statement)
    assert found == data_set and token_count <= tables.MAX_TOKENS


# Guards against a statement of 250 KB that takes 49 to 65 MB while its data set is looked for.
@pytest.mark.parametrize("quote", [b"'", b'"', b"`", b"e'"])
def test_a_long_string_takes_little_memory(quote):
    statement = b"select " + quote + b"\xc3\xa9a" * 80_000 + quote[-1:] + b" from s_5.t"
    tracemalloc.start()
    try:
        assert find_data_set(statement) == 5
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4 * len(statement)


@given(st.text(alphabet="from select,.()'\"/*-_1a$;\n", max_size=80))
def test_any_text_is_accepted(text):
    assert find_data_set(text.encode()) >= 0
