"""Answers whose status is none that HTTP knows."""

import asyncio
import itertools

import pytest

from limpetroute.wire import call_failed
from tests.wire import test_early_answers


# Guards against an answer whose status is none that HTTP knows.
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize(
    'status',
    ['000', '0', '099', '20', '0200', '1000', '100', '101', '600', '999'],
)
def test_an_invalid_status_is_no_answer(status, is_kept):
    answer = (
        test_early_answers._head(status, test_early_answers.LENGTH)
        + test_early_answers.PART
    )
    got = asyncio.run(
        test_early_answers._upload(answer, body=b'', is_kept=is_kept)
    )
    assert isinstance(got, call_failed.CallFailed)
    assert got.sent


# Guards against interim answers that hide an invalid status.
@pytest.mark.parametrize('count', [1, 3])
def test_an_invalid_status_after_interim_answers_is_no_answer(count):
    for status in itertools.chain((0, 99), (600, 999)):
        answer = (
            test_early_answers._head(103) * count
            + test_early_answers._head(
                f'{status:03}', test_early_answers.LENGTH
            )
            + test_early_answers.PART
        )
        got = asyncio.run(test_early_answers._upload(answer, body=b''))
        assert isinstance(got, call_failed.CallFailed), status


@pytest.mark.parametrize('status', [200, 299, 404, 599])
def test_a_valid_status_is_an_answer(status):
    got = asyncio.run(
        test_early_answers._upload(
            test_early_answers._head(status, test_early_answers.LENGTH)
            + test_early_answers.PART,
            body=b'',
        )
    )
    assert got.status == status
