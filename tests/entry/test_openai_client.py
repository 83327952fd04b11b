"""Tests with the unmodified OpenAI client library in its own thread."""

import asyncio
import typing

import openai
import pytest

from limpetroute.decisions import work
from limpetroute.entry.runs import scheduler as scheduler_module
from tests.entry import fleet as fleet_module


def _with_client(
    work: typing.Callable[[openai.OpenAI], None], **kwargs: typing.Any
) -> None:
    async def story(fleet: fleet_module.Fleet) -> None:
        client = openai.OpenAI(
            base_url=f'http://127.0.0.1:{fleet.port}/v1',
            api_key='none',
            max_retries=0,
        )
        await asyncio.to_thread(work, client)
        client.close()

    fleet_module.play(story, **kwargs)


def test_completions() -> None:
    def work(client: openai.OpenAI) -> None:
        whole = client.completions.create(
            model='review', prompt=fleet_module.PROMPT, max_tokens=9
        )
        assert whole.choices[0].text == fleet_module.want(9)
        assert whole.usage is not None
        assert whole.usage.completion_tokens == 9
        stream = client.completions.create(
            model='review',
            prompt=fleet_module.PROMPT,
            max_tokens=9,
            stream=True,
        )
        text = ''.join(chunk.choices[0].text for chunk in stream)
        assert text == fleet_module.want(9)

    _with_client(work)


def test_chat_with_usage_and_keep_alives() -> None:
    # Keep-alive comments arrive between events. The library takes an
    # empty line after a comment for an event, and then fails.
    def work(client: openai.OpenAI) -> None:
        messages: typing.Any = [
            {'role': 'user', 'content': [{'type': 'text', 'text': 'Rank'}]}
        ]
        whole = client.chat.completions.create(
            model='review', messages=messages, max_tokens=5, temperature=0.2
        )
        want = whole.choices[0].message.content
        assert want and len(want.split()) == 5
        chunks = list(
            client.chat.completions.create(
                model='review',
                messages=messages,
                max_tokens=5,
                temperature=0.2,
                stream=True,
                stream_options={'include_usage': True},
            )
        )
        first = chunks[0].choices[0].delta
        assert first.role == 'assistant'
        text = ''.join(
            chunk.choices[0].delta.content or ''
            for chunk in chunks
            if chunk.choices
        )
        assert text == want
        assert chunks[-2].choices[0].finish_reason == 'length'
        assert chunks[-1].usage is not None
        assert chunks[-1].usage.completion_tokens == 5

    _with_client(work, keep_alive_s=0.002, engine={'step_s': 0.02})


def test_errors() -> None:
    def work(client: openai.OpenAI) -> None:
        with pytest.raises(openai.NotFoundError) as missing:
            client.completions.create(model='other', prompt='x')
        assert missing.value.code == 'model_not_found'
        with pytest.raises(openai.BadRequestError):
            client.completions.create(model='review', prompt='')
        headers = {'Idempotency-Key': 'k'}
        retrying = client.with_options(max_retries=2)
        retrying.completions.create(
            model='review', prompt='x', extra_headers=headers
        )
        with pytest.raises(openai.ConflictError) as twice:
            retrying.completions.create(
                model='review', prompt='x', extra_headers=headers
            )
        assert twice.value.code == 'already_delivered'
        assert [model.id for model in client.models.list()] == ['review']

    _with_client(work)


def test_broken_answer_is_an_error() -> None:
    # The engine fails permanently in the middle of an answer. The library
    # must raise, and not return the partial answer as complete.
    async def story(fleet: fleet_module.Fleet) -> None:
        fleet.fault(fleet.decodes[0], fail_decode_after=3)

        def work() -> None:
            client = openai.OpenAI(
                base_url=f'http://127.0.0.1:{fleet.port}/v1',
                api_key='none',
                max_retries=0,
            )
            stream = client.completions.create(
                model='review', prompt='x', stream=True
            )
            with pytest.raises(openai.APIError) as broken:
                list(stream)
            assert 'start over' in broken.value.message
            client.close()

        await asyncio.to_thread(work)

    fleet_module.play(story, first_token_s=0.5)


def test_a_retry_of_the_library_counts_as_a_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Every prefill runner refuses, and the library retries after
    # Retry-After, when the runners accept work. The router must recognize
    # the retry, also on a host that did not receive the first attempt.
    offered: list[bool] = []

    async def story(fleet: fleet_module.Fleet) -> None:
        offer = scheduler_module.Scheduler.offer

        def spy(
            scheduler: scheduler_module.Scheduler, item: work.Work
        ) -> typing.Any:
            offered.append(item.returning)
            assert fleet_module.KEY not in item.key
            if item.returning:
                for engine in fleet.prefills:
                    fleet.fault(engine)
            return offer(scheduler, item)

        monkeypatch.setattr(scheduler_module.Scheduler, 'offer', spy)
        for engine in fleet.prefills:
            fleet.fault(engine, refuse=True)
        client = openai.OpenAI(
            base_url=f'http://127.0.0.1:{fleet.port}/v1',
            api_key='none',
            max_retries=3,
        )
        got = await asyncio.to_thread(
            client.completions.create,
            model='review',
            prompt=fleet_module.PROMPT,
            max_tokens=4,
            extra_headers={'Idempotency-Key': fleet_module.KEY},
        )
        client.close()
        assert got.choices[0].text == fleet_module.want(4)

    fleet_module.play(story)
    assert offered[0] is False
    assert offered[-1] is True
