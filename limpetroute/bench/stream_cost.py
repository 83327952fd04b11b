"""Measure what a streamed token costs the entry process.

Usage:
  stream_cost cost [--streams N] [--words N] [--rounds N]
  stream_cost first [--requests N]
  stream_cost load --url URL [--streams N] [--words N] [--over S] [--pid PID]

Options:
  --streams N   Streams at a time [default: 100].
  --words N     Words of each answer [default: 200].
  --rounds N    Times that each side is measured, in turn [default: 3].
  --requests N  Requests whose first word is timed [default: 200].
  --url URL     Callers' address of a running entry process.
  --over S      Seconds over which the streams are opened [default: 0].
  --pid PID     Its process id, to read its memory.
  -h --help     Show this help.

`cost` runs the entry process's part in one thread, the stand-in engine
and the callers in two others, and gives the CPU time of that one thread
a token: beside it the same for a bare handler that copies the events.
`first` compares the time to the first word through the entry host with
the same three calls made straight at the engines.

Example:
  python -m limpetroute.bench.stream_cost cost --streams 400
"""

import asyncio
import collections
import json
import os
import pathlib
import re
import statistics
import sys
import time
import typing

import docopt

from limpetroute.bench import bare_forwarder
from limpetroute.bench import loop_thread
from limpetroute.bench import stream_reader
from limpetroute.border import entry_settings
from limpetroute.border import standin_settings
from limpetroute.entry import server as entry_server
from limpetroute.runners import engine_call
from limpetroute.runners import http_engine
from limpetroute.standins import engine_server
from limpetroute.wire import caller

SETTLE_S = 1.0
STEP_S = 0.02
PROMPT = 'Dossier {number}\nA short one.'


class _Fleet:
    """One entry host and two engines, each side in its own thread."""

    def __init__(self, *, slots: int) -> None:
        self.entry_thread = loop_thread.LoopThread(name='entry')
        self.engine_thread = loop_thread.LoopThread(name='engines')
        self.caller_thread = loop_thread.LoopThread(name='callers')
        self.entry = self.entry_thread.run(self._start_entry())
        self.engines = [
            self.engine_thread.run(self._start_engine(role, slots))
            for role in ('prefill', 'decode')
        ]
        time.sleep(SETTLE_S)

    @property
    def url(self) -> str:
        return f'http://127.0.0.1:{self.entry.port}'

    async def _start_entry(self) -> entry_server.EntryServer:
        entry = entry_server.EntryServer(
            settings=entry_settings.EntrySettings(
                host_id='entry-1',
                zone='bench',
                zones=['bench'],
                first_token_s=60.0,
                retain_s=1.0,
            )
        )
        entry.start()
        return entry

    async def _start_engine(
        self, role: str, slots: int
    ) -> engine_server.EngineServer:
        internal = f'http://127.0.0.1:{self.entry.internal_port}'
        engine = engine_server.EngineServer(
            settings=standin_settings.StandinSettings.model_validate(
                {
                    'runner_id': role,
                    'role': role,
                    'zone': 'bench',
                    'announce_urls': [internal],
                    'models': ['review'],
                    'slots': slots,
                    'step_s': STEP_S,
                    'kv_capacity_bytes': 1 << 45,
                    'result_ttl_s': 60.0,
                }
            )
        )
        engine.start()
        return engine


def measure_cost(
    *, streams: int, words: int, rounds: int
) -> dict[str, typing.Any]:
    """Return the CPU time a token of the entry process and the baseline."""
    fleet = _Fleet(slots=2 * streams)
    decode = fleet.engines[1]

    async def bare() -> bare_forwarder.BareForwarder:
        return bare_forwarder.BareForwarder(engine_url=decode.url)

    forwarder = fleet.entry_thread.run(bare())
    ours = []
    theirs = []
    wrong = 0
    rates = []
    for turn in range(rounds):
        start_s = time.monotonic()
        before_s = fleet.entry_thread.cpu_s()
        seen = fleet.caller_thread.run(_read_all(fleet.url, streams, words))
        used_s = fleet.entry_thread.cpu_s() - before_s
        tokens = sum(one.events for one in seen)
        wrong += sum(one.lost + one.doubled + one.disordered for one in seen)
        ours.append(used_s / tokens)
        rates.append(tokens / (time.monotonic() - start_s))
        names = [f'run-{turn}-{number}' for number in range(streams)]
        fleet.engine_thread.run(_add_runs(decode, names))
        before_s = fleet.entry_thread.cpu_s()
        tokens = fleet.caller_thread.run(
            _read_bare(forwarder.port, names, words)
        )
        used_s = fleet.entry_thread.cpu_s() - before_s
        theirs.append(used_s / tokens)
    return {
        'streams': streams,
        'words': words,
        'entry_us_a_token': [round(one * 1e6, 1) for one in ours],
        'bare_us_a_token': [round(one * 1e6, 1) for one in theirs],
        'ratio': round(statistics.median(ours) / statistics.median(theirs), 2),
        'tokens_per_core_s': round(1 / statistics.median(ours)),
        'tokens_s_in_this_run': round(max(rates)),
        'lost_doubled_disordered': wrong,
    }


async def _read_all(
    url: str, streams: int, words: int, over_s: float = 0.0
) -> list[stream_reader.StreamSeen]:
    calls = [
        stream_reader.read(
            url,
            prompt=PROMPT.format(number=number),
            words=words,
            wait_s=over_s * number / streams,
        )
        for number in range(streams)
    ]
    return list(await asyncio.gather(*calls))


async def _read_bare(port: int, names: list[str], words: int) -> int:
    calls = [bare_forwarder.read(port, name, words) for name in names]
    return sum(await asyncio.gather(*calls))


async def _add_runs(
    decode: engine_server.EngineServer, names: list[str]
) -> None:
    for name in names:
        decode.state.add_run(name, PROMPT, 1)


def measure_first(*, requests: int) -> dict[str, typing.Any]:
    """Return the time to the first word with and without the host."""
    fleet = _Fleet(slots=100)
    through = []
    straight = []
    for number in range(requests):
        prompt = PROMPT.format(number=number)
        seen = fleet.caller_thread.run(
            stream_reader.read(fleet.url, prompt=prompt, words=1)
        )
        through.append(seen.first_s)
        straight.append(
            fleet.caller_thread.run(_straight(fleet, number, prompt))
        )
    over = [one - other for one, other in zip(through, straight, strict=True)]
    return {
        'requests': requests,
        'through_ms_median': round(statistics.median(through) * 1e3, 2),
        'straight_ms_median': round(statistics.median(straight) * 1e3, 2),
        'overhead_ms_median': round(statistics.median(over) * 1e3, 2),
    }


async def _straight(fleet: _Fleet, number: int, prompt: str) -> float:
    """Make the three calls of one request at the engines."""
    http = caller.Caller()
    prefill, decode = (
        http_engine.HttpEngine(url=engine.url, http=http)
        for engine in fleet.engines
    )
    run_id = f'straight-{number}'
    start_s = time.monotonic()
    result = await prefill.prefill(
        engine_call.PrefillCall(
            run_id=run_id,
            model='review',
            prompt=prompt,
            priority=0,
            fence=0,
            latest_start_s=60.0,
        ),
        timeout_s=60.0,
    )
    assert isinstance(result, engine_call.PrefillResult)
    await decode.import_kv(
        engine_call.ImportCall(
            run_id=run_id,
            source_url=prefill.url,
            handle=result.handle,
            fence=0,
        ),
        timeout_s=60.0,
    )
    events = decode.decode(
        engine_call.DecodeCall(
            run_id=run_id, model='review', max_tokens=1, priority=0, fence=0
        ),
        token_timeout_s=60.0,
    )
    took_s = 0.0
    async for _ in events:
        took_s = took_s or time.monotonic() - start_s
    return took_s


def measure_load(
    *, url: str, streams: int, words: int, over_s: float, pid: int | None
) -> dict[str, typing.Any]:
    """Open streams at a running process and check every word."""
    start_s = time.monotonic()
    before_s = _cpu_s(pid) if pid is not None else 0.0
    seen = asyncio.run(_read_all(url, streams, words, over_s))
    took_s = time.monotonic() - start_s
    events = sum(one.events for one in seen)
    found = {
        'streams': streams,
        'ended': sum(one.ended for one in seen),
        'told': dict(collections.Counter(one.told for one in seen)),
        'events': events,
        'lost': sum(one.lost for one in seen),
        'doubled': sum(one.doubled for one in seen),
        'disordered': sum(one.disordered for one in seen),
        'tokens_s': round(events / took_s),
        'first_ms_median': round(
            statistics.median(one.first_s for one in seen) * 1e3, 1
        ),
    }
    if pid is not None:
        used_s = _cpu_s(pid) - before_s
        found['cpu_us_a_token'] = round(used_s / max(1, events) * 1e6, 1)
        found['tokens_per_core_s'] = round(events / used_s)
        found['peak_rss_mb'] = _peak_rss_mb(pid)
    return found


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
    ticks = sum(int(word) for word in fields.split()[11:13])
    return ticks / os.sysconf('SC_CLK_TCK')


def _peak_rss_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', text)
    assert found is not None
    return round(int(found[1]) / 1024, 1)


def main(argv: typing.Sequence[str] | None = None) -> int:
    """Run one measurement and print it as JSON."""
    assert __doc__ is not None
    args = docopt.docopt(__doc__, None if argv is None else list(argv))
    streams, words = int(args['--streams']), int(args['--words'])
    if args['cost']:
        rounds = int(args['--rounds'])
        found = measure_cost(streams=streams, words=words, rounds=rounds)
    elif args['first']:
        found = measure_first(requests=int(args['--requests']))
    else:
        pid = int(args['--pid']) if args['--pid'] else None
        found = measure_load(
            url=args['--url'],
            streams=streams,
            words=words,
            over_s=float(args['--over']),
            pid=pid,
        )
    print(json.dumps(found, indent=1))
    return 0


if __name__ == '__main__':
    sys.exit(main())
