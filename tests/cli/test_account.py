"""What became of a day's requests, worked out from log lines."""

import json

from limpetroute.cli import day_account
from tests.cli import commands


def line(message, request, second=0, **fields):
    time = f'2026-01-01T00:00:{second:02d}.000000+00:00'
    return json.dumps(
        {'message': message, 'request': request, 'time': time, **fields}
    )


def decided(request, second=0, **fields):
    values = {'team': 'bank', 'queued_ms': 0, 'waited_ms': 1, **fields}
    return line('stream decided', request, second, **values)


def sent(request, part, result, second=0, **fields):
    return line('sent', request, second, part=part, result=result, **fields)


def prefilled(request, tokens=1000, took_ms=50):
    return sent(
        request,
        'prefill',
        'answered',
        detail=f'{tokens} tokens',
        took_ms=took_ms,
    )


def decoded(request, result='answered', second=0, first_event_ms=200, gap=100):
    return sent(
        request,
        'decode',
        result,
        second,
        first_event_ms=first_event_ms,
        longest_gap_ms=gap,
    )


def read(*lines):
    account = day_account.DayAccount()
    account.read(['no JSON here', *lines])
    return account


def test_a_late_stream_has_the_longest_part_as_its_cause():
    account = read(
        decided('a', queued_ms=900),
        prefilled('a'),
        decoded('a', first_event_ms=1200),
        decided('b', second=3),
        prefilled('b', took_ms=1000),
        decoded('b', second=3, first_event_ms=1200),
        decided('c'),
        decoded('c', gap=500),
        decided('d'),
        decoded('d'),
    )
    assert account.causes() == {
        'late: waited for a placement': 1,
        'late: waited for the prefill': 1,
        'late: gap between events': 1,
        'in time': 1,
    }
    assert account.by('second')[3].total() == 1
    assert account.by('team')['bank'].total() == 4


def test_prompts_in_vain_are_counted_by_cause():
    account = read(
        decided('a'),
        prefilled('a', 700),
        decoded('a', 'refused'),
        prefilled('a', 700),
        decoded('a'),
        decided('b'),
        prefilled('b', 300),
        line('caller gone', 'b'),
        decided('c'),
        prefilled('c', 500),
        decoded('c', 'broken'),
        line('answered for itself', 'c', status=502, reason='after a send'),
    )
    assert account.wasted() == {
        'decode runner refused': 700,
        'caller left before the decode': 300,
        'stream 502 after a send': 500,
    }


def test_plain_requests_are_counted_by_how_they_ended():
    account = read(
        sent('a', 'run', 'failed'),
        sent('a', 'run', 'answered'),
        line('answered for itself', 'b', status=429, reason='over quota'),
        sent('c', 'run', 'timed_out'),
        line('caller gone', 'c'),
    )
    assert account.plain() == {
        'answered at send 2': 1,
        '429 over quota': 1,
        'caller left': 1,
    }


def test_the_command_prints_tables_and_json(tmp_path):
    log = tmp_path / 'entry.log'
    log.write_text('\n'.join([decided('a'), prefilled('a'), decoded('a')]))
    code, out, _ = commands.run('account', str(log))
    assert code == 0
    assert 'in time' in out
    code, out, _ = commands.run('account', str(log), '--json')
    assert json.loads(out)['streams'] == {'in time': 1}
    empty = tmp_path / 'empty.log'
    empty.write_text('')
    assert commands.run('account', str(empty))[0] == 3
    assert commands.run('account', str(tmp_path / 'none.log'))[0] == 2
