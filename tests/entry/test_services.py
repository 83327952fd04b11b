import asyncio
import random
import typing

import pytest

from limpetroute.border import manifest as manifest_module
from limpetroute.border import standin_settings
from limpetroute.entry.services import call_rules
from limpetroute.standins import service_faults
from limpetroute.standins import service_server
from tests.entry import fleet as fleet_module
from tests.entry import memory_claim_store
from tests.entry import raw_caller

KEY = {'Idempotency-Key': 'release-5'}
BODY = {'guarantee': 'G-1'}
RELEASE = '/v1/services/registry/release'
LOOKUP = '/v1/services/registry/status/G-1'
MANIFEST = manifest_module.ManifestBody.model_validate(
    {
        'number': 1,
        'services': [
            {
                'name': 'registry',
                'timeout_s': 1.0,
                'calls': [
                    {'method': 'POST', 'path': '/search', 'repeatable': True},
                    {
                        'method': 'GET',
                        'path': '/ticket/**',
                        'repeatable': False,
                    },
                ],
            }
        ],
    }
)
Services = list[service_server.ServiceServer]
Scenario = typing.Callable[
    [fleet_module.Fleet, Services], typing.Coroutine[None, None, None]
]


def _run_scenario(
    scenario: Scenario, *, count: int = 2, **settings: typing.Any
) -> None:
    async def with_services(fleet: fleet_module.Fleet) -> None:
        fleet.host.manifest = MANIFEST
        fleet.host.claims = memory_claim_store.MemoryClaimStore()
        services = [
            service_server.ServiceServer(
                settings=standin_settings.StandinSettings.model_validate(
                    {
                        'runner_id': f'registry-{number}',
                        'role': 'service',
                        'service': 'registry',
                        'zone': 'evere',
                        'heartbeat_s': 0.1,
                        'announce_urls': [
                            f'http://127.0.0.1:{fleet.entry.internal_port}'
                        ],
                    }
                )
            )
            for number in range(count)
        ]
        for service in services:
            service.start()
        try:
            await fleet_module.until(lambda: len(fleet.host.runners) == count)
            await scenario(fleet, services)
        finally:
            for service in services:
                await service.stop()

    fleet_module.play(with_services, prefills=0, decodes=0, **settings)


def _fault(services: Services, **faults: typing.Any) -> None:
    for service in services:
        service.state.faults = service_faults.ServiceFaults(**faults)


def _run_count(services: Services) -> int:
    return sum(sum(service.state.runs.values()) for service in services)


async def _release(
    fleet: fleet_module.Fleet, **body: typing.Any
) -> tuple[int, dict[str, str], typing.Any]:
    return await raw_caller.fetch(
        fleet, 'POST', RELEASE, {**BODY, **body}, KEY
    )


def test_lookup_is_retried_on_another_runner() -> None:
    # A runner runs a look-up and then closes the connection without a
    # reply. The caller still gets an answer, from another runner.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, drop_reply=1)
        _fault(services[:1])
        for _ in range(3):
            status, headers, body = await raw_caller.fetch(
                fleet, 'GET', LOOKUP + '?full=1'
            )
            assert status == 200
            assert (body['path'], body['query']) == ('/status/G-1', 'full=1')
            assert headers['limpetroute-outcome'] == 'completed'

    _run_scenario(scenario)


def test_retries_have_a_budget() -> None:
    # All runners of the service fail. Retries must not triple the load
    # on the service while it recovers.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, drop_reply=1000)
        for _ in range(60):
            await raw_caller.fetch(fleet, 'GET', LOOKUP)
        assert 60 < _run_count(services) <= 60 + 10 + 6

    _run_scenario(scenario, count=3)


def test_release_runs_once_and_its_answer_is_kept() -> None:
    # A release confirmation is sent twice under one key. It runs once,
    # and the second call gets the stored answer. A call for another
    # guarantee under the same key is refused.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        status, headers, first = await _release(fleet)
        assert (status, headers['limpetroute-outcome']) == (200, 'completed')
        status, headers, again = await _release(fleet)
        assert status == 200
        assert headers['limpetroute-outcome'] == 'already_delivered'
        assert again == first
        status, _, body = await _release(fleet, guarantee='G-2')
        assert (status, body['error']['code']) == (422, 'key_reused')
        assert _run_count(services) == 1

    _run_scenario(scenario)


def test_release_whose_answer_is_lost_is_never_sent_again() -> None:
    # The runner runs the release and closes the connection without a
    # reply. The outcome is not known, so the release must not run again:
    # the caller and each repeat get `unknown`.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, drop_reply=1)
        status, headers, _ = await _release(fleet)
        assert (status, headers['limpetroute-outcome']) == (502, 'unknown')
        status, headers, _ = await _release(fleet)
        assert (status, headers['limpetroute-outcome']) == (409, 'unknown')
        assert headers['x-should-retry'] == 'false'
        assert _run_count(services) == 1

    _run_scenario(scenario)


def test_release_that_times_out() -> None:
    # The runner exceeds the service's time limit. The call may still
    # run, so the answer is 504 and `unknown`.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, delay_s=5.0)
        status, headers, _ = await _release(fleet)
        assert (status, headers['limpetroute-outcome']) == (504, 'unknown')
        assert _run_count(services) == 1

    _run_scenario(scenario)


def test_release_that_a_runner_refused_goes_to_another() -> None:
    # One runner refuses explicitly and one is stopped. The call provably
    # did not run on either, so it is sent to another runner.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services[:1], refuse=True)
        await services[1].stop()
        for number in range(4):
            status, _, _ = await raw_caller.fetch(
                fleet,
                'POST',
                RELEASE,
                BODY,
                {'Idempotency-Key': f'r-{number}'},
            )
            assert status == 200
        assert _run_count(services) == 4

    _run_scenario(scenario, count=3, runner_timeout_s=10.0)


def test_caller_of_a_release_goes() -> None:
    # The caller disconnects while the release runs. The release is not
    # cancelled, and the repeat gets its answer.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, delay_s=0.3)
        caller = raw_caller.RawCaller(fleet.port)
        await caller.send('POST', RELEASE, BODY, KEY)
        await fleet_module.until(lambda: _run_count(services) == 1)
        caller.rst()
        status, headers, body = await _release(fleet)
        assert (status, body['run']) == (200, 1)
        fleet.host.claims.fail_settles = 2
        status, headers, body = await _release(fleet)
        assert headers['limpetroute-outcome'] == 'already_delivered'
        assert _run_count(services) == 1

    _run_scenario(scenario)


def test_no_quorum() -> None:
    # The control log is unreachable, so nothing is sent. A call under a
    # key of the caller may have run before, so the answer is `unknown`
    # with Retry-After and not `not_run`.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        await _release(fleet)
        fleet.host.claims.reachable = False
        status, headers, _ = await _release(fleet)
        assert (status, headers['limpetroute-outcome']) == (503, 'unknown')
        assert 'retry-after' in headers
        status, headers, _ = await raw_caller.fetch(
            fleet, 'POST', RELEASE, BODY
        )
        assert (status, headers['limpetroute-outcome']) == (503, 'not_run')
        fleet.host.claims = None
        status, headers, _ = await raw_caller.fetch(
            fleet, 'POST', RELEASE, BODY
        )
        assert (status, headers['limpetroute-outcome']) == (503, 'not_run')
        assert _run_count(services) == 1

    _run_scenario(scenario)


def test_no_runner_for_a_release() -> None:
    # All runners refuse the release. The caller gets `not_run`, and the
    # refusal is stored under the key.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, refuse=True)
        for _ in range(2):
            status, headers, body = await _release(fleet)
            assert (status, body['error']['code']) == (503, 'key_spent')
            assert headers['limpetroute-outcome'] == 'not_run'
        assert _run_count(services) == 0

    _run_scenario(scenario)


def test_rules_of_the_manifest() -> None:
    # The manifest allows retries of a POST that searches, and forbids
    # retries of a GET that draws a ticket. Its rules override the HTTP
    # semantics of the methods.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, drop_reply=1)
        status, _, _ = await raw_caller.fetch(
            fleet, 'POST', '/v1/services/registry/search', BODY
        )
        assert status == 502
        assert _run_count(services) == 2
        _fault(services, drop_reply=1)
        status, headers, _ = await raw_caller.fetch(
            fleet, 'GET', '/v1/services/registry/ticket/new/today'
        )
        assert (status, headers['limpetroute-outcome']) == (502, 'unknown')
        assert _run_count(services) == 3

    _run_scenario(scenario)


def test_wrong_services_and_paths() -> None:
    # A path that a service may normalize to another path is refused,
    # because another rule may apply to that path.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        for path, status in (
            ('/v1/services/other/x', 404),
            ('/v1/services/registry/a//release', 400),
            ('/v1/services/registry/a/%2e%2e/release', 400),
            ('/v1/services/registry/', 400),
        ):
            got, headers, _ = await raw_caller.fetch(fleet, 'GET', path)
            assert got == status, path
            assert headers['limpetroute-outcome'] == 'not_run'
        assert _run_count(services) == 0

    _run_scenario(scenario)


def test_shutdown_waits_for_a_release() -> None:
    # The host is stopped while a release runs. The release finishes, its
    # answer is stored although the first attempt to store it fails, and
    # new calls are refused.
    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        _fault(services, delay_s=0.3)
        fleet.host.claims.fail_settles = 1
        caller = raw_caller.RawCaller(fleet.port)
        await caller.send('POST', RELEASE, BODY, KEY)
        await fleet_module.until(lambda: _run_count(services) == 1)
        stopping = asyncio.create_task(fleet.entry.stop())
        await fleet_module.until(lambda: not fleet.host.ready)
        status, headers, _ = await raw_caller.fetch(
            fleet, 'POST', RELEASE, BODY
        )
        assert (status, headers['limpetroute-outcome']) == (503, 'not_run')
        status, headers, _ = await raw_caller.fetch(fleet, 'GET', LOOKUP)
        assert (status, headers['limpetroute-outcome']) == (503, 'not_run')
        assert await caller.read_head() == 200
        await stopping
        claim = fleet.host.claims.claims['default', 'release-5']
        assert claim.status == 200
        assert _run_count(services) == 1

    _run_scenario(scenario)


@pytest.mark.parametrize('seed', [5, 23])
def test_releases_under_random_failures(seed: int) -> None:
    # At random, runners refuse calls or drop replies, the control log
    # loses its quorum, and callers disconnect. Callers repeat calls under
    # the same keys on new connections. No key runs twice, and no call
    # that was answered with `not_run` has run.
    rng = random.Random(seed)

    async def call_once(fleet: fleet_module.Fleet, services: Services) -> None:
        name = f'key-{rng.randrange(40)}'
        caller = raw_caller.RawCaller(fleet.port)
        await caller.send(
            'POST', RELEASE, {'for': name}, {'Idempotency-Key': name}
        )
        if rng.random() < 0.2:
            await asyncio.sleep(0.005)
            caller.rst()
            return
        await caller.read_head()
        if caller.headers['limpetroute-outcome'] != 'not_run':
            return
        for service in services:
            assert not service.state.runs[f'POST /release {name}']

    async def scenario(fleet: fleet_module.Fleet, services: Services) -> None:
        for _ in range(40):
            for service in services:
                _fault(
                    [service],
                    drop_reply=rng.randrange(2),
                    refuse=rng.random() < 0.4,
                    delay_s=rng.random() * 0.01,
                )
            fleet.host.claims.reachable = rng.random() < 0.8
            fleet.host.claims.fail_settles = rng.randrange(2)
            await asyncio.gather(
                *(call_once(fleet, services) for _ in range(8))
            )
        total: dict[str, int] = {}
        for service in services:
            for name, count in service.state.runs.items():
                total[name] = total.get(name, 0) + count
        assert len(total) > 10
        assert set(total.values()) == {1}

    _run_scenario(scenario, count=3)


@pytest.mark.parametrize(
    ('pattern', 'path', 'fits'),
    [
        ('/a/*', '/a/b', True),
        ('/a/*', '/a/b/c', False),
        ('/a/**', '/a/b/c', True),
        ('/a', '/a', True),
        ('/a', '/a/', False),
    ],
)
def test_patterns(pattern: str, path: str, fits: bool) -> None:
    assert call_rules.path_matches(pattern, path) is fits


def test_the_stricter_rule_wins() -> None:
    service = manifest_module.ServiceBody.model_validate(
        {
            'name': 'registry',
            'calls': [
                {'method': 'POST', 'path': '/**', 'repeatable': True},
                {'method': 'POST', 'path': '/release', 'repeatable': False},
            ],
        }
    )
    assert call_rules.is_repeatable(service, 'POST', '/search')
    assert not call_rules.is_repeatable(service, 'POST', '/release')
    assert not call_rules.is_repeatable(None, 'PATCH', '/x')
    assert call_rules.is_repeatable(None, 'GET', '/x')
