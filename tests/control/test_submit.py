"""The submit command, from the shell to the entry hosts."""

import asyncio
import json
import time

from limpetroute.border import entry_settings
from limpetroute.border import manifest as manifest_module
from limpetroute.cli import submit
from limpetroute.entry.manifests import manifest_watch
from limpetroute.wire import caller
from tests.control import control_fleet

IN_FORCE_S = 2.0
# Tolerance on top of the documented limit, for a busy machine.
TOLERANCE_S = 3.0


class Hosts:
    """Manifest watches of entry hosts, and the revisions they applied."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.seen = {}
        self.watches = {}

    def start(self, name):
        seen = self.seen.setdefault(name, [])
        watch = manifest_watch.ManifestWatch(
            settings=entry_settings.EntrySettings(
                host_id=name,
                zone='evere',
                zones=['evere'],
                demo=True,
                state_dir=self.fleet.folder / name,
                control_urls=[self.fleet.url(h) for h in self.fleet.hosts],
                when_isolated='refuse',
                isolation_s=1.0,
            ),
            http=caller.Caller(),
            on_manifest=lambda body: seen.append(body.number),
        )
        watch.start()
        self.watches[name] = watch

    def stop(self, name):
        self.watches.pop(name).stop()


def _manifest(folder, number, **fields):
    path = folder / f'manifest-{number}.json'
    path.write_text(json.dumps({'number': number, **fields}))
    return str(path)


async def _submit(fleet, *args):
    urls = ','.join(fleet.url(host) for host in fleet.hosts)
    argv = ['submit', *args, '--control', urls, '--wait', '2']
    return await asyncio.to_thread(submit.run, argv)


def test_submit_until_in_force_everywhere(tmp_path, capsys):
    """Submits, resends, conflicting and stale manifests."""

    async def run():
        async with control_fleet.running(tmp_path) as fleet:
            hosts = Hosts(fleet)
            for name in ('e1', 'e2'):
                hosts.start(name)
            await fleet.until(
                lambda: all(
                    not watch.refuses_work(time.monotonic())
                    for watch in hosts.watches.values()
                )
            )
            began_s = time.monotonic()
            first = _manifest(tmp_path, 7, sender='a')
            assert await _submit(fleet, first) == 0
            assert time.monotonic() - began_s < IN_FORCE_S + TOLERANCE_S
            assert 'in force on all 2 hosts' in capsys.readouterr().out
            assert [seen[-1] for seen in hosts.seen.values()] == [7, 7]
            assert await _submit(fleet, first, '--json') == 0
            assert json.loads(capsys.readouterr().out)['resent'] is True
            other = _manifest(tmp_path, 7, objective='wasted_prefill')
            assert await _submit(fleet, other) == 1
            shown = capsys.readouterr().out
            assert 'conflict' in shown
            assert "sent by 'a'" in shown
            late = _manifest(tmp_path, 6)
            assert await _submit(fleet, late) == 1
            assert 'manifest 7 is in force' in capsys.readouterr().out
            bad = _manifest(tmp_path, 8, pools=[{'name': 'p'}])
            assert await _submit(fleet, bad) == 2
            assert 'pools.0.models' in capsys.readouterr().err

            # An unresponsive host is reported, and catches up in one step.
            hosts.stop('e2')
            assert await _submit(fleet, _manifest(tmp_path, 9)) == 1
            assert 'not yet on: e2' in capsys.readouterr().out
            client = fleet.client()
            for start in range(10, 210, 20):
                await asyncio.gather(
                    *(
                        client.post(
                            path='/v1/manifest',
                            body={'number': number},
                            timeout_s=5.0,
                        )
                        for number in range(start, start + 20)
                    )
                )
            hosts.seen['e2'].clear()
            hosts.start('e2')
            assert hosts.watches['e2'].number == 7
            await fleet.until(lambda: hosts.watches['e2'].number == 209)
            assert hosts.seen['e2'] == [7, 209]
            old = manifest_module.ManifestBody(number=208)
            assert not hosts.watches['e2'].offer(old)
            assert hosts.watches['e2'].number == 209

            # Without control hosts, a restarted entry host keeps its
            # revision and refuses work, according to its settings.
            for host in fleet.hosts:
                await fleet.stop(host)
            hosts.stop('e2')
            hosts.start('e2')
            assert hosts.watches['e2'].number == 209
            assert hosts.watches['e2'].refuses_work(time.monotonic())
            await fleet.until(
                lambda: hosts.watches['e1'].refuses_work(time.monotonic())
            )
            code = await asyncio.to_thread(
                submit.run,
                [
                    'submit',
                    first,
                    '--control',
                    fleet.url('c1'),
                    '--timeout',
                    '0.3',
                    '--wait',
                    '0',
                ],
            )
            assert code == 3
            assert 'not run' in capsys.readouterr().out
            for name in list(hosts.watches):
                hosts.stop(name)

    asyncio.run(run())


def test_lost_leader_gives_unknown_and_resending_settles(tmp_path):
    """The quorum is lost while a manifest is being submitted.

    The outcome is ``unknown`` within the timeout. After the hosts have
    restarted, sending the manifest again settles it.
    """

    async def run():
        async with control_fleet.running(tmp_path) as fleet:
            leader = fleet.leader(0)
            for host in fleet.hosts:
                if host != leader:
                    await fleet.stop(host)
            began_s = time.monotonic()
            client = fleet.client(leader)
            lost = await client.post(
                path='/v1/manifest', body={'number': 3}, timeout_s=1.0
            )
            assert time.monotonic() - began_s < 1.0 + TOLERANCE_S
            assert type(lost).__name__ == 'Unknown', lost
            for host in fleet.hosts:
                if host != leader:
                    fleet.start(host)
            again = await fleet.client().post(
                path='/v1/manifest', body={'number': 3}, timeout_s=10.0
            )
            assert again.body['outcome'] == 'accepted'

    asyncio.run(run())
