import asyncio

from opentelemetry.sdk.trace.export import in_memory_span_exporter
from prometheus_client import parser
import pytest

from limpetroute.telemetry import exports
from limpetroute.telemetry import hops
from limpetroute.telemetry import trace_context
from limpetroute.wire import caller

PARENT = f'00-{"a" * 32}-{"b" * 16}-01'


def _lines(exported):
    return exported.text().decode().splitlines()


def test_each_metric_is_exported_to_prometheus():
    exported = exports.Exports(host_id='e1', zone='evere')
    meters = exported.meters
    meters.first_token(0.95)
    meters.token_gap(0.0309)
    meters.ended('completed', good=True)
    meters.ended('unknown', good=False)
    meters.refused('saturated')
    meters.retried('prefill')
    meters.wasted_prefill(512)
    meters.gone_caller_freed('decode', 0.2)
    exported.observe('runners', lambda: 3)
    values = {}
    for family in parser.text_string_to_metric_families(
        exported.text().decode()
    ):
        for sample in family.samples:
            label = next(
                (
                    sample.labels[name]
                    for name in ('le', 'outcome', 'reason', 'stage')
                    if name in sample.labels
                ),
                '',
            )
            values[sample.name, label] = sample.value
    for name, label, value in (
        ('first_token_seconds_bucket', '0.9', 0),
        ('first_token_seconds_bucket', '1.0', 1),
        ('token_gap_seconds_bucket', '0.028', 0),
        ('token_gap_seconds_bucket', '0.031', 1),
        ('requests_total', 'completed', 1),
        ('requests_total', 'unknown', 1),
        ('goodput_requests_total', '', 1),
        ('refusals_total', 'saturated', 1),
        ('retries_total', 'prefill', 1),
        ('wasted_prefill_tokens_total', '', 512),
        ('gone_caller_kv_held_seconds_sum', 'decode', 0.2),
        ('runners', '', 3),
    ):
        assert values[f'limpetroute_{name}', label] == value


def test_two_hosts_in_one_process_do_not_mix():
    first = exports.Exports(host_id='e1', zone='evere')
    second = exports.Exports(host_id='e2', zone='evere')
    first.meters.refused('saturated')
    assert not any('saturated' in line for line in _lines(second))


def test_none_exports_nothing():
    exported = exports.Exports(host_id='e1', zone='evere', metrics='none')
    exported.observe('runners', lambda: 3)
    exported.meters.refused('saturated')
    assert exported.text() is None
    exported.close()


def _make_traced(share=1.0):
    spans = in_memory_span_exporter.InMemorySpanExporter()
    exported = exports.Exports(
        host_id='e1', zone='evere', span_exporter=spans, sampled_share=share
    )
    return exported, spans


def _in_task(work):
    """Run ``work`` in a task, so that its trace context is discarded."""

    async def run():
        return work()

    return asyncio.run(run())


def test_hops_nest_under_the_callers_trace():
    exported, spans = _make_traced()
    headers = []

    def work():
        trace_context.receive(PARENT)
        with exported.hops.hop('entry', zone='evere'):
            with exported.hops.hop('prefill', runner_id='r1'):
                headers.append(caller.Caller()._headers(None)['traceparent'])
            with exported.hops.hop('decode'):
                pass
        headers.append(trace_context.current())

    _in_task(work)
    exported.close()
    prefill, decode, entry = spans.get_finished_spans()
    assert {span.context.trace_id for span in (prefill, decode, entry)} == {
        int('a' * 32, 16)
    }
    assert entry.parent.span_id == int('b' * 16, 16)
    assert prefill.parent.span_id == entry.context.span_id
    assert decode.parent.span_id == entry.context.span_id
    assert headers[0].split('-')[2] == f'{prefill.context.span_id:016x}'
    assert headers[1] == PARENT
    assert entry.resource.attributes['service.instance.id'] == 'e1'


def test_failed_hop_is_marked():
    exported, spans = _make_traced()

    def work():
        with exported.hops.hop('decode'):
            raise TimeoutError

    with pytest.raises(TimeoutError):
        _in_task(work)
    exported.close()
    (span,) = spans.get_finished_spans()
    assert span.status.description == 'TimeoutError'


def test_a_caller_that_does_not_sample_gets_no_spans():
    exported, spans = _make_traced()

    def work():
        trace_context.receive(PARENT[:-1] + '0')
        with exported.hops.hop('entry'):
            assert trace_context.current().startswith(PARENT[:35])

    _in_task(work)
    exported.close()
    assert spans.get_finished_spans() == ()


@pytest.mark.parametrize(
    'header',
    [None, '', 'x', PARENT.upper(), f'00-{"0" * 32}-{"b" * 16}-01'],
)
def test_broken_trace_headers_are_ignored(header):
    def work():
        trace_context.receive(header)
        return trace_context.current()

    assert _in_task(work) == ''


def test_the_trace_context_is_propagated_without_tracing():
    def work():
        trace_context.receive(PARENT)
        with hops.NullHops().hop('entry'):
            return caller.Caller()._headers(None)['traceparent']

    assert _in_task(work) == PARENT
