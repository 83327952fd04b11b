import asyncio
import typing

import hypothesis
from hypothesis import strategies

from limpetroute.entry.runs import answer_reader
from limpetroute.runners import engine_call
from limpetroute.runners import engine_failure


@strategies.composite
def _streams(draw: strategies.DrawFn) -> tuple[int, list[typing.Any]]:
    count = draw(strategies.integers(0, 12))
    repeats = draw(strategies.lists(strategies.integers(0, max(0, count - 1))))
    indexes = draw(strategies.permutations(list(range(count)) + repeats))
    events: list[typing.Any] = [
        engine_call.TokenEvent(index=index, text=f'{index} ')
        for index in indexes
        if index < count
    ]
    end_index = draw(strategies.integers(0, len(events)))
    end = engine_call.EndEvent(finish_reason='stop', completion_tokens=count)
    return count, [*events[:end_index], end, *events[end_index:]]


async def _read(
    events: list[typing.Any], taken: list[str]
) -> tuple[typing.Any, int]:
    async def stream() -> typing.AsyncIterator[typing.Any]:
        for event in events:
            yield event

    reader = answer_reader.AnswerReader(append=taken.append)
    return await reader.read(stream()), reader.last_index


@hypothesis.given(_streams())
def test_any_order_gives_each_word_once(
    case: tuple[int, list[typing.Any]],
) -> None:
    # Token events arrive out of order and twice, and the end event may
    # arrive before the last token. Each token is delivered once and in
    # order, and the end is returned only after the last token.
    count, events = case
    taken: list[str] = []
    got, _ = asyncio.run(_read(events, taken))
    assert isinstance(got, engine_call.EndEvent)
    assert taken == [f'{index} ' for index in range(count)]


def test_a_gap_is_resumed_from_the_word_before_it() -> None:
    # Token 1 is lost with the connection, and token 2 arrived before it.
    # The stream must be resumed after token 0, and token 2 must not be
    # delivered without token 1.
    events = [
        engine_call.TokenEvent(index=0, text='a'),
        engine_call.TokenEvent(index=2, text='c'),
    ]
    taken: list[str] = []
    got, last_index = asyncio.run(_read(events, taken))
    assert isinstance(got, engine_failure.Failed) and got.resumable
    assert taken == ['a']
    assert last_index == 0
