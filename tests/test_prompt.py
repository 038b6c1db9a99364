"""Prompt pieces have equal hashes if, and only if, their whole prefixes are equal."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale.connection.messages import Piece
from gooseberrydale.request.prompt import (
    BYTES_PER_TOKEN,
    CHAT_PATH,
    COMPLETION_PATH,
    MAX_PIECES,
    PIECE_BYTES,
    PIECE_TOKENS,
    cache_root,
    piece_key,
    prompt_pieces,
)

LONG = "x" * (2 * PIECE_BYTES + 400)


def message(content: object, role: str = "user", **fields: object) -> dict[str, object]:
    return {"role": role, "content": content, **fields}


def chat(*messages: object, **fields: object) -> tuple[Piece, ...]:
    return prompt_pieces(CHAT_PATH, {"messages": list(messages), **fields})


def text(prompt: object) -> tuple[Piece, ...]:
    return prompt_pieces(COMPLETION_PATH, {"prompt": prompt})


@pytest.mark.parametrize(
    ("pieces", "tokens"),
    [
        (chat(), []),
        (chat(message("guide!!!"), message("q")), [2, 1]),
        (chat(message(LONG)), [PIECE_TOKENS, PIECE_TOKENS, 100]),
        (chat(message("")), [1]),
        (chat(message(None, tool_calls=[])), [1, 5]),
        (chat(message([{"type": "text", "text": "abcd" * 5}])), [1, 5]),
        (text(LONG), [PIECE_TOKENS, PIECE_TOKENS, 100]),
        (text([1, 2, 3]), [3]),
        (text(["abcd", "abcdefgh"]), [1, 2]),
        (text(None), []),
        (prompt_pieces("/v1/models", {"prompt": "a"}), []),
        (prompt_pieces(CHAT_PATH, {"messages": "no list"}), []),
    ],
)
def test_prompts_are_split_at_messages_and_piece_size(
    pieces: tuple[Piece, ...], tokens: list[int]
) -> None:
    assert [piece.tokens for piece in pieces] == tokens


def test_only_equal_prefixes_have_equal_hashes() -> None:
    guide, lot = message("guide", "system"), message("lot 1")
    good = chat(guide, lot, message("good?"))
    bad = chat(guide, lot, message("bad?"))
    assert good[:2] == bad[:2]
    assert good[2].chain != bad[2].chain
    # An equal text after a different prefix has a different hash.
    assert chat(message("guide 2", "system"), lot)[1].chain != good[1].chain
    assert chat(message(LONG))[:2] == chat(message(LONG + "more"))[:2]


@pytest.mark.parametrize(
    ("one", "other"),
    [
        (chat(message("a", "user")), chat(message("a", "system"))),
        (chat(message("a")), text("a")),
        (chat(message("ab")), chat(message("a"), message("b"))),
        (chat(message("a")), chat(message([{"type": "text", "text": "a"}]))),
        (chat(message("a")), chat(message("a", name="n"))),
        (chat(message("a")), chat(message("a"), tools=[{"name": "t"}])),
        (
            chat(message([{"type": "text", "text": "ab"}])),
            chat(message([{"type": "text", "text": x} for x in "ab"])),
        ),
        (
            chat(message([{"type": "image_url", "image_url": {"url": "a"}}])),
            chat(message([{"type": "image_url", "image_url": {"url": "b"}}])),
        ),
        (
            chat(message("x" * PIECE_BYTES + "y")),
            chat(message("x" * PIECE_BYTES), message("y")),
        ),
        (text([1, 2]), text([2, 1])),
        # A text that contains the encoding of a second message is one message.
        (chat(message("a"), message("b")), chat(message("aM\0\0\0\4userb"))),
    ],
)
def test_prompts_that_templates_render_differently_have_different_hashes(
    one: tuple[Piece, ...], other: tuple[Piece, ...]
) -> None:
    assert one[-1].chain != other[-1].chain


def test_field_order_does_not_matter() -> None:
    assert chat({"role": "user", "content": "a"}) == chat(
        {"content": "a", "role": "user"}
    )


def test_piece_key_depends_on_each_part_of_the_root() -> None:
    roots = {
        cache_root(*parts)
        for parts in [
            ("w", "m", "1"),
            ("w2", "m", "1"),
            ("w", "m2", "1"),
            ("w", "m", "2"),
            ("wm", "", "1"),
            ("w", "m1", ""),
        ]
    }
    assert len(roots) == 6
    assert len({piece_key(root, b"chain") for root in roots}) == 6


conversations = st.lists(
    st.tuples(st.sampled_from(["user", "system"]), st.text(max_size=4)), max_size=4
)


@settings(derandomize=True, max_examples=300)
@given(conversations, conversations)
def test_prompts_share_exactly_the_pieces_of_their_common_messages(
    one: list[tuple[str, str]], other: list[tuple[str, str]]
) -> None:
    shared = 0
    while shared < min(len(one), len(other)) and one[shared] == other[shared]:
        shared += 1
    first = chat(*(message(content, role) for role, content in one))
    second = chat(*(message(content, role) for role, content in other))
    common = {piece.chain for piece in first} & {piece.chain for piece in second}
    assert len(common) == shared


def test_prompts_of_many_messages_have_a_limited_number_of_pieces() -> None:
    messages = [message(str(number)) for number in range(MAX_PIECES + 5)]
    pieces = chat(*messages)
    assert len(pieces) == MAX_PIECES
    assert sum(piece.tokens for piece in pieces) == MAX_PIECES + 5
    assert pieces[:-1] == chat(*messages[: MAX_PIECES - 1])
    assert pieces[-1] != chat(*messages[:-1])[-1]


def test_tokens_take_no_object_each() -> None:
    """Guards against prompts of numbers that take many times their size."""
    tokens = [7] * 500_000
    tracemalloc.start()
    try:
        pieces = text(tokens)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert sum(piece.tokens for piece in pieces) == len(tokens)
    assert peak < 4 * BYTES_PER_TOKEN * len(tokens)
    assert text([1, 2**32 + 1, "a"]) == text([1, 1, 0])
