"""``POST /v1/commands``: commits a command for another control host."""

import dataclasses

from limpetroute.control import base_handler
from limpetroute.control import commands
from limpetroute.control import verdicts


class CommandHandler(base_handler.BaseHandler):
    """``POST /v1/commands``: commits a command for another control host."""

    async def post(self) -> None:
        """Commit the command in the body, if this host leads."""
        try:
            command = commands.decode(self.request.body)
        except (ValueError, TypeError) as exc:
            self.set_status(400)
            self.finish({'outcome': 'invalid', 'errors': [str(exc)]})
            return
        verdict = await self.node.config.commit(
            command, self.node.settings.commit_timeout_s
        )
        if isinstance(verdict, verdicts.Committed):
            self.reply('committed', verdict.result)
            return
        if isinstance(verdict, verdicts.Unknown):
            self.set_status(base_handler.UNKNOWN)
        else:
            self.set_status(base_handler.NOT_RUN)
        self.finish({'outcome': 'refused', **dataclasses.asdict(verdict)})
