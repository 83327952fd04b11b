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
    again = draw(strategies.lists(strategies.integers(0, max(0, count - 1))))
    indexes = draw(strategies.permutations(list(range(count)) + again))
    events: list[typing.Any] = [
        engine_call.TokenEvent(index=index, text=f'{index} ')
        for index in indexes
        if index < count
    ]
    place = draw(strategies.integers(0, len(events)))
    end = engine_call.EndEvent(finish_reason='stop', completion_tokens=count)
    return count, [*events[:place], end, *events[place:]]


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
    # An engine's events overtake each other and come twice, the end
    # among them. The caller gets each word once, in order, and the end
    # only after the last.
    count, events = case
    taken: list[str] = []
    got, _ = asyncio.run(_read(events, taken))
    assert isinstance(got, engine_call.EndEvent)
    assert taken == [f'{index} ' for index in range(count)]


def test_a_gap_is_resumed_from_the_word_before_it() -> None:
    # Word 1 is lost with the connection, and 2 had overtaken it. The
    # rest is asked for from word 0 on; word 2 alone is never shown.
    events = [
        engine_call.TokenEvent(index=0, text='a'),
        engine_call.TokenEvent(index=2, text='c'),
    ]
    taken: list[str] = []
    got, last_index = asyncio.run(_read(events, taken))
    assert isinstance(got, engine_failure.Failed) and got.resumable
    assert taken == ['a']
    assert last_index == 0
