"""Tests of how one host handles requests that crash runners."""

import asyncio

import pytest

from limpetroute.forwarding import caller_request
from limpetroute.forwarding import quarantine_client
from limpetroute.forwarding import quarantine_gate
from limpetroute.routing import quarantine
from tests.routing import builders


class FakeControl:
    """Responds for the control hosts as the test defines."""

    def __init__(self, trial=None):
        self.trial = trial
        self.reachable = True
        # ``calls`` holds the answered calls, ``call_count`` counts all.
        self.calls = []
        self.call_count = 0

    def client(self):
        client = quarantine_client.QuarantineClient(http=None, urls=list)
        client._call = self._call
        return client

    async def _call(self, path, body):
        self.call_count += 1
        if not self.reachable:
            return None
        self.calls.append((path, body))
        if path.endswith('/trial'):
            return self.trial
        return {'outcome': 'done'}

    def called(self, end):
        return [body for path, body in self.calls if path.endswith(end)]


def _request(body=b'bad', request_id='q'):
    return caller_request.CallerRequest(
        request_id=request_id,
        method='POST',
        target='/a/1',
        host='h.example',
        headers={},
        body=body,
        received_s=0.0,
        deadline_s=None,
        generation=None,
        resume_after='',
    )


def _crash(client, body=b'bad', count=3, answer_begun=False, first=0):
    for number in range(first, first + count):
        runner = builders.make_runner(f'r{number}')
        client.note_crash(_request(body), runner, answer_begun=answer_begun)


def _may_send(client, body=b'bad'):
    gate = quarantine_gate.QuarantineGate(
        client=client, request=_request(body)
    )
    return gate.may_send()


GRANTED = {'outcome': 'granted', 'wait_s': 30.0}
WAIT = {'outcome': 'wait', 'wait_s': 2.0}
RELEASED = {'outcome': 'released', 'wait_s': 0.0}


def test_a_host_that_reaches_no_control_host_keeps_to_its_own_count():
    """Otherwise it would send the request to each restarted runner."""

    async def work():
        fake_control = FakeControl()
        fake_control.reachable = False
        client = fake_control.client()
        _crash(client, count=2)
        assert await _may_send(client)
        _crash(client, count=1, first=2)
        assert not await _may_send(client)
        assert await _may_send(client, b'another')
        await asyncio.sleep(0.05)
        client.stop()

    asyncio.run(work())


def test_a_failed_report_is_repeated(monkeypatch):
    monkeypatch.setattr(quarantine_client, 'RETRY_DELAY_S', 0.01)

    async def work():
        fake_control = FakeControl(trial=WAIT)
        fake_control.reachable = False
        client = fake_control.client()
        _crash(client, count=3)
        await asyncio.sleep(0.05)
        assert fake_control.call_count
        fake_control.reachable = True
        await asyncio.sleep(0.1)
        reported = fake_control.called('/crashes')[-1]['crashes']
        assert [one['runner_id'] for one in reported] == ['r0', 'r1', 'r2']
        fingerprint = _request().fingerprint
        assert all(one['suspects'] == {fingerprint: False} for one in reported)
        count = fake_control.call_count
        await asyncio.sleep(0.1)
        assert fake_control.call_count == count

    asyncio.run(work())


def test_a_crash_at_another_host_stops_the_request_here():
    async def work():
        fake_control = FakeControl(trial=WAIT)
        client = fake_control.client()
        client.update([_request().fingerprint])
        assert not await _may_send(client)
        assert await _may_send(client, b'another')

    asyncio.run(work())


def test_a_refused_request_causes_one_call_until_its_retry_time():
    """Many retries of a request must not cause as many calls."""

    async def work():
        fake_control = FakeControl(trial=WAIT)
        client = fake_control.client()
        client.update([_request().fingerprint])
        for _ in range(50):
            gate = quarantine_gate.QuarantineGate(
                client=client, request=_request()
            )
            assert not await gate.may_send()
            assert gate.is_closed()
            assert 0.0 < gate.retry_after_s <= 2.0
        assert len(fake_control.called('/trial')) == 1

    asyncio.run(work())


def test_a_trial_is_one_send():
    async def work():
        fake_control = FakeControl(trial=GRANTED)
        client = fake_control.client()
        client.update([_request().fingerprint])
        assert await _may_send(client)
        assert not await _may_send(client)

    asyncio.run(work())


def test_a_trial_that_ends_well_clears_the_request():
    async def work():
        fake_control = FakeControl(trial=GRANTED)
        client = fake_control.client()
        fingerprint = _request().fingerprint
        client.update([fingerprint])
        assert await _may_send(client)
        client.note_answered(_request())
        await asyncio.sleep(0.05)
        assert fake_control.called('/clear') == [{'fingerprint': fingerprint}]
        client.update([])
        assert await _may_send(client)
        assert await _may_send(client)

    asyncio.run(work())


def test_the_decision_of_the_fleet_overrides_the_local_count():
    """Other hosts know the other requests at the crashed runners."""

    async def work():
        fake_control = FakeControl(trial=RELEASED)
        client = fake_control.client()
        _crash(client, count=3)
        await asyncio.sleep(0.05)
        assert await _may_send(client)
        assert not client.is_quarantined(_request())

    asyncio.run(work())


def test_answers_cost_nothing_while_nothing_crashed(monkeypatch):
    """Without any crash, no request body is hashed."""
    client = FakeControl().client()

    def hashes(request):
        pytest.fail('hashed')

    monkeypatch.setattr(
        caller_request.CallerRequest, 'fingerprint', property(hashes)
    )
    assert not client.is_quarantined(_request())
    client.note_answered(_request())


def test_unreported_crashes_take_bounded_memory():
    async def work():
        fake_control = FakeControl()
        fake_control.reachable = False
        client = fake_control.client()
        for number in range(3 * quarantine_client.MAX_UNREPORTED):
            _crash(client, b'%d' % number, count=1, first=number)
        assert len(client._unreported) == quarantine_client.MAX_UNREPORTED
        for number in range(2 * quarantine.MAX_QUARANTINED_REQUESTS):
            client._refuse(f'f{number}', 5.0)
        assert (
            len(client._refused_until_s) == quarantine.MAX_QUARANTINED_REQUESTS
        )
        client.stop()

    asyncio.run(work())
