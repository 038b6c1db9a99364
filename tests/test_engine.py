"""Tests of the example engine: cache, batching, priorities, answers and orders."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale.example.answers import answer_text
from gooseberrydale.example.cache_feed import CacheFeed, FeedCfg
from gooseberrydale.example.engine import Finished, Started, Token
from gooseberrydale.example.orders import Order, OrderGate, OrderKind
from gooseberrydale.example.prefix_cache import CacheChange, PrefixCache
from gooseberrydale.example.prompts import parse_prompt
from gooseberrydale.example.weight_store_app import SharedRate
from tests.builders_example import engine, job, of_type, pieces


@pytest.mark.parametrize(
    "stored, asked, cached",
    [
        ("abc", "abc", 300),
        ("abc", "abx", 200),
        ("abc", "xbc", 0),
        ("abc", "axc", 100),
        ("", "a", 0),
    ],
)
def test_a_piece_counts_only_if_all_before_it_are_cached(stored, asked, cached):
    cache = PrefixCache(1_000, 60.0)
    cache.store(pieces(stored), "root", 0.0)
    assert cache.match(pieces(asked), 1.0) == cached


def test_the_cache_evicts_the_last_piece_of_the_oldest_prompt_first():
    cache = PrefixCache(400, 60.0)
    cache.store(pieces("abc"), "root", 0.0)
    change = cache.store(pieces("xy"), "root", 1.0)
    assert change == CacheChange(stored=("x", "y"), removed=("c",))
    assert cache.match(pieces("abc"), 2.0) == 200


def test_the_least_recently_used_piece_is_evicted():
    cache = PrefixCache(200, 60.0)
    cache.store(pieces("a"), "root", 0.0)
    cache.store(pieces("b"), "root", 1.0)
    cache.match(pieces("a"), 2.0)
    assert cache.store(pieces("c"), "root", 3.0).removed == ("b",)


def test_pieces_expire_unless_used():
    cache = PrefixCache(1_000, 5.0)
    cache.store(pieces("ab"), "root", 0.0)
    cache.match(pieces("a"), 4.0)
    assert cache.expire(4.9).removed == ()
    assert cache.expire(5.0).removed == ("b",)
    assert cache.expire(9.0).removed == ("a",)


def test_prefill_time_depends_on_the_uncached_tokens():
    model = engine()
    assert of_type(model.submit(job(1, "a"), 0.0), Started) == [Started(1, 0)]
    assert model.advance(1.1) != []
    assert of_type(model.advance(1.19), Token) == []
    assert of_type(model.advance(1.201), Token) == [Token(1, 0)]
    model.advance(5.0)
    assert of_type(model.submit(job(2, "a"), 5.0), Started) == [Started(2, 100)]
    assert of_type(model.advance(5.21), Token) == [Token(2, 0)]


def test_a_batch_is_never_larger_than_its_limit():
    model = engine(max_batch=2)
    for job_id in range(5):
        model.submit(job(job_id), 0.0)
    assert (model.running, model.waiting) == (2, 3)
    ended = of_type(model.advance(100.0), Finished)
    assert [output.job_id for output in ended] == [0, 1, 2, 3, 4]


def test_the_highest_priority_leaves_the_queue_first():
    model = engine(max_batch=1)
    for job_id, priority in enumerate([0, 0, 5, 1]):
        model.submit(job(job_id, priority=priority), 0.0)
    started = of_type(model.advance(100.0), Started)
    assert [output.job_id for output in started] == [2, 3, 1]


@pytest.mark.parametrize("at", [0.05, 0.15, 0.25], ids=["prefill", "decode", "later"])
def test_a_cancelled_job_frees_its_batch_slot_immediately(at):
    model = engine(max_batch=1)
    model.submit(job(1, answer_tokens=50), 0.0)
    model.submit(job(2), 0.0)
    assert of_type(model.cancel(1, at), Started) == [Started(2, 0)]
    assert of_type(model.advance(100.0), Finished) == [Finished(2)]


def test_new_weights_empty_the_cache_and_old_prefills_do_not_fill_it():
    model = engine()
    model.submit(job(1, "a"), 0.0)
    model.advance(5.0)
    model.submit(job(2, "b"), 5.0)
    model.pause()
    model.submit(job(3, "c"), 5.1)
    assert model.waiting == 1
    outputs = model.replace_weights(5.5)
    assert of_type(outputs, CacheChange) == [CacheChange(removed=("a",))]
    model.advance(10.0)
    assert model.cache.keys() == ("c",)


def _parse(body: dict[str, object], *, chat: bool):
    return parse_prompt(msgspec.json.encode(body), chat=chat)


@settings(derandomize=True, max_examples=100)
@given(
    question=st.text(min_size=1, max_size=50),
    cut=st.integers(0, 80),
    chat=st.booleans(),
)
def test_an_interrupted_answer_resumes_where_it_stopped(question, cut, chat):
    messages = [{"role": "user", "content": question}]
    body = {"messages": messages} if chat else {"prompt": question}
    prompt = _parse(body, chat=chat).unwrap()
    complete_text = answer_text(prompt.digest, prompt.answer_tokens)
    given_text = complete_text[:cut]
    if chat:
        last = {"role": "assistant", "content": given_text}
        body = {"messages": [*messages, last], "continue_final_message": True}
    else:
        length = len(question.encode())
        body = {"prompt": question + given_text, "continue_from_bytes": length}
    resumed = _parse(body, chat=chat).unwrap()
    assert resumed.digest == prompt.digest
    end = resumed.first_index + resumed.answer_tokens
    assert answer_text(resumed.digest, end) == complete_text
    assert resumed.emitted == given_text


@pytest.mark.parametrize(
    "body, chat",
    [
        ({"prompt": "a" + "WRONG", "continue_from_bytes": 1}, False),
        ({"prompt": "a", "continue_from_bytes": 2}, False),
        ({"prompt": ["a", "b"]}, False),
        ({"messages": [{"role": "user", "content": "a"}]} | {"max_tokens": "x"}, True),
        (
            {
                "messages": [{"role": "user", "content": "a"}],
                "continue_final_message": True,
            },
            True,
        ),
        ({}, True),
    ],
)
def test_an_invalid_body_is_refused(body, chat):
    assert _parse(body, chat=chat).unwrap_err().code == "invalid_field"


def test_a_text_prompt_without_resumption_is_all_prompt():
    prompt = _parse({"prompt": "ab"}, chat=False).unwrap()
    other_prompt = _parse({"prompt": "a"}, chat=False).unwrap()
    assert prompt.digest != other_prompt.digest


@pytest.mark.parametrize(
    "cfg, seqs",
    [
        (FeedCfg(1.0), [1, 2, 3, 4, 5, 6]),
        (FeedCfg(1.0, drop_rate=1.0), []),
        (FeedCfg(1.0, repeat_rate=1.0), [1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6]),
    ],
)
def test_cache_events_are_late_and_may_be_lost_or_repeated(cfg, seqs):
    feed = CacheFeed(cfg, "incarnation", random.Random(1))
    sent = [d for _ in range(6) for d in feed.publish(CacheChange(("a",)), 10.0)]
    assert sorted(d.event.seq for d in sent) == seqs
    assert all(d.due_at >= 11.0 for d in sent)
    assert feed.seq == 6


def test_reordered_events_arrive_out_of_sequence():
    feed = CacheFeed(FeedCfg(1.0, reorder_rate=0.5), "incarnation", random.Random(1))
    sent = [d for i in range(20) for d in feed.publish(CacheChange(("a",)), i * 0.1)]
    order = [d.event.seq for d in sorted(sent, key=lambda d: d.due_at)]
    assert order != sorted(order)


def _order(number: int, version: str) -> Order:
    return Order(number, OrderKind.LOAD_WEIGHTS, "m", version)


@pytest.mark.parametrize(
    "checks, second, outcome",
    [
        (True, _order(6, "3"), True),
        (True, _order(5, "2"), False),
        (True, _order(5, "3"), "stale_fencing_number"),
        (True, _order(4, "1"), "stale_fencing_number"),
        (False, _order(4, "1"), True),
    ],
)
def test_an_engine_refuses_old_numbers_only_if_it_checks_them(checks, second, outcome):
    gate = OrderGate(checks_fencing=checks)
    assert gate.accept(_order(5, "2")).unwrap()
    gate.mark_executed()
    decision = gate.accept(second)
    result = decision.unwrap() if decision.is_ok() else decision.unwrap_err().code
    assert result == outcome


def test_an_order_that_was_not_executed_may_be_sent_again():
    gate = OrderGate(checks_fencing=True)
    gate.accept(_order(5, "2"))
    assert gate.accept(_order(5, "2")).unwrap() is True


@pytest.mark.parametrize("loads, wait_s", [(1, 0.5), (2, 0.5), (3, 0.75), (4, 1.0)])
def test_loads_over_the_slots_of_the_weight_store_take_longer(loads, wait_s):
    rate = SharedRate(slots=2, load_s=0.5)
    ids = [rate.begin(10.0) for _ in range(loads)]
    assert rate.wait_s(ids[0], 10.0) == pytest.approx(wait_s)
    assert rate.wait_s(ids[-1], 10.0 + wait_s) == 0.0


def test_a_load_speeds_up_when_another_ends():
    rate = SharedRate(slots=1, load_s=1.0)
    first = rate.begin(0.0)
    second = rate.begin(0.5)
    assert rate.wait_s(first, 0.5) == pytest.approx(1.0)
    # The second load had half the rate until 1.5 and the full rate afterwards.
    assert rate.wait_s(second, 1.9) == pytest.approx(0.1)
    assert rate.wait_s(first, 1.9) == 0.0
