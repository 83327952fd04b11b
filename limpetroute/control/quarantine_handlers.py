"""Handlers for requests that crash runners."""

import logging

from limpetroute.border import crash_bodies
from limpetroute.control import base_handler
from limpetroute.control import commands
from limpetroute.control import results
from limpetroute.routing import quarantine

LOG = logging.getLogger(__name__)


class CrashesHandler(base_handler.BaseHandler):
    """``POST /v1/crashes``."""

    async def post(self) -> None:
        """Record crashes and the requests that the runners were running."""
        body = self.parse(crash_bodies.CrashesBody)
        if body is None:
            return
        command = commands.NoteCrashes(
            crashes=[
                [crash.runner_id, crash.started_ms, crash.suspects]
                for crash in body.crashes
            ]
        )
        before = set(self.node.config.state.quarantine.requests)
        result = await self.commit(self.node.config, command, body.timeout_s)
        if result is None:
            return
        after = self.node.config.state.quarantine.requests
        LOG.info(
            'crashes noted',
            extra={
                'runners': [crash.runner_id for crash in body.crashes],
                'requests': sum(len(crash.suspects) for crash in body.crashes),
                'quarantined': [name for name in after if name not in before],
            },
        )
        self.reply('noted', result)


class ClearHandler(base_handler.BaseHandler):
    """``POST /v1/quarantine/clear``."""

    async def post(self) -> None:
        """Release a quarantined request as harmless."""
        body = self.parse(crash_bodies.RequestBody)
        if body is None:
            return
        command = commands.ClearRequest(fingerprint=body.fingerprint)
        result = await self.commit(self.node.config, command, body.timeout_s)
        if result is None:
            return
        LOG.info('request cleared', extra={'fingerprint': body.fingerprint})
        self.reply('cleared', result)


class TrialHandler(base_handler.BaseHandler):
    """``POST /v1/quarantine/trial``."""

    async def post(self) -> None:
        """Allow one host to send a quarantined request once, if it is due."""
        body = self.parse(crash_bodies.RequestBody)
        if body is None:
            return
        node = self.node
        group = node.config
        if not group.replica.can_read(node.now_s):
            self.refuse(group.leader_host, 'not the leader')
            return
        known = group.state.quarantine
        fingerprint = body.fingerprint
        trials = known.trial_count(fingerprint)
        wait_s = 0.0
        if fingerprint in known:
            wait_s = node.trial_times.wait_s(fingerprint, trials, node.now_s)
        if wait_s:
            self._answer(fingerprint, 'wait', trials, wait_s)
            return
        command: commands.Command = commands.TakeTrial(
            fingerprint=fingerprint, taken=trials
        )
        if trials >= quarantine.MAX_TRIALS:
            command = commands.ClearRequest(fingerprint=fingerprint)
        result = await self.commit(group, command, body.timeout_s)
        if result is None:
            return
        outcome = quarantine.Trial.RELEASED.value
        if isinstance(result, results.TrialDecided):
            outcome = result.trial
        # The delay before the next trial starts with this one.
        wait_s = node.trial_times.wait_s(
            fingerprint, known.trial_count(fingerprint), node.now_s
        )
        self._answer(fingerprint, outcome, trials, wait_s)

    def _answer(
        self, fingerprint: str, outcome: str, trials: int, wait_s: float
    ) -> None:
        LOG.info(
            'trial requested',
            extra={
                'fingerprint': fingerprint,
                'outcome': outcome,
                'trials': trials,
                'wait_s': round(wait_s, 3),
            },
        )
        self.finish({'outcome': outcome, 'wait_s': wait_s})
