import gzip
import http.server
import json
import threading
import time
import urllib.request

from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
import pytest

from tests.whole_path import processes

TRACE_ID = 'a' * 32
CALLER_SPAN = 'b' * 16
DEAD_URL = 'http://127.0.0.1:9'


class _Collector(http.server.ThreadingHTTPServer):
    """Receives spans over OTLP and stores them by name."""

    def __init__(self):
        super().__init__(('127.0.0.1', 0), _Handler)
        self.spans = {}
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def url(self):
        return f'http://127.0.0.1:{self.server_port}'


class _Handler(http.server.BaseHTTPRequestHandler):
    def do_POST(self):  # noqa: N802 - name set by http.server
        body = self.rfile.read(int(self.headers['Content-Length']))
        if self.headers.get('Content-Encoding') == 'gzip':
            body = gzip.decompress(body)
        export = trace_service_pb2.ExportTraceServiceRequest()
        export.ParseFromString(body)
        for resource in export.resource_spans:
            for scope in resource.scope_spans:
                for span in scope.spans:
                    self.server.spans[span.name] = span
        self.send_response(200)
        self.end_headers()

    def log_message(self, *args):
        pass


class _Fleet:
    def __init__(self, folder, otlp_url):
        self.started = []
        self.port, self.internal = self._start(
            folder,
            'entry',
            {
                'host_id': 'e1',
                'zone': 'evere',
                'zones': ['evere'],
                'telemetry': {
                    'spans': 'otlp',
                    'otlp_url': otlp_url,
                    'sampled_share': 1.0,
                },
            },
        )
        for role in ('prefill', 'decode'):
            self._start(
                folder,
                'standin',
                {
                    'runner_id': role,
                    'role': role,
                    'zone': 'evere',
                    'models': ['review'],
                    'announce_urls': [f'http://127.0.0.1:{self.internal}'],
                },
            )

    def _start(self, folder, command, settings):
        name = settings.get('runner_id', command)
        process = processes.Process(command, settings, folder, name)
        self.started.append(process)
        return process.wait_ready()

    def complete(self):
        body = {'model': 'review', 'prompt': 'p', 'max_tokens': 5}
        call = urllib.request.Request(
            f'http://127.0.0.1:{self.port}/v1/completions',
            data=json.dumps(body).encode(),
            headers={'traceparent': f'00-{TRACE_ID}-{CALLER_SPAN}-01'},
        )
        with urllib.request.urlopen(call, timeout=20) as response:
            return response.headers['Limpetroute-Outcome']

    def metrics(self):
        url = f'http://127.0.0.1:{self.internal}/metrics'
        with urllib.request.urlopen(url, timeout=5) as response:
            return response.read().decode()

    def stop(self):
        return [process.stop() for process in reversed(self.started)]


@pytest.fixture
def collector():
    server = _Collector()
    yield server
    server.shutdown()
    server.server_close()


def test_a_span_for_each_hop(tmp_path, collector):
    fleet = _Fleet(tmp_path, collector.url)
    try:
        assert fleet.complete() == 'completed'
        metrics = fleet.metrics()
    finally:
        codes = fleet.stop()
    assert codes == [0, 0, 0]
    spans = collector.spans
    assert set(spans) == {'entry', 'queue', 'prefill', 'transfer', 'decode'}
    assert {span.trace_id.hex() for span in spans.values()} == {TRACE_ID}
    assert spans['entry'].parent_span_id.hex() == CALLER_SPAN
    for name in ('queue', 'prefill', 'transfer', 'decode'):
        assert spans[name].parent_span_id == spans['entry'].span_id
    start_times_ns = [
        spans[name].start_time_unix_nano
        for name in ('entry', 'queue', 'prefill', 'transfer', 'decode')
    ]
    assert start_times_ns == sorted(start_times_ns)
    names = {item.key for item in spans['decode'].attributes}
    assert names == {'runner_id'}
    assert 'limpetroute_goodput_requests_total' in metrics
    assert 'limpetroute_first_token_seconds_bucket' in metrics


def test_an_unreachable_collector_does_not_delay_shutdown(tmp_path):
    """A host is shut down while its collector is unreachable.

    Requests are served nevertheless, and the host stops within seconds
    instead of after the last retry of the exporter.
    """
    fleet = _Fleet(tmp_path, DEAD_URL)
    try:
        assert fleet.complete() == 'completed'
        started_s = time.monotonic()
        assert fleet.started[0].stop() == 0
        assert time.monotonic() - started_s < 15
    finally:
        fleet.stop()
