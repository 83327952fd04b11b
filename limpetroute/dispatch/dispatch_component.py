"""Runs the dispatcher and its HTTP handlers in a control process."""

import functools

from tornado import web

from limpetroute.control import node as node_module
from limpetroute.dispatch import dispatcher as dispatcher_module
from limpetroute.dispatch import order_codec
from limpetroute.dispatch import placement_handlers
from limpetroute.dispatch import plain_handlers
from limpetroute.dispatch import plain_scheduler

# Teams nearest to their quota that the status report lists.
SHOWN_TEAMS = 5


class DispatchComponent:
    """Runs the dispatcher and its HTTP handlers in a control process.

    Parameters
    ----------
    node : Node
        The control host.
    codec : OrderCodec
        Parses routing configurations and encodes orders.
    """

    def __init__(
        self,
        *,
        node: node_module.Node,
        codec: order_codec.OrderCodec,
    ) -> None:
        self._dispatcher = dispatcher_module.Dispatcher(node=node, codec=codec)
        self._plain_scheduler = plain_scheduler.PlainScheduler(
            node=node, runners=self._dispatcher.runners
        )
        node.describers['teams'] = functools.partial(
            self._dispatcher.describe_quotas, SHOWN_TEAMS
        )
        node.describers['limited_runners'] = self._dispatcher.describe_limited

    def __repr__(self) -> str:
        return f'{type(self).__name__}(dispatcher={self._dispatcher!r})'

    def routes(self) -> list[web.URLSpec]:
        """Return the handlers for the port between hosts."""
        args = {'dispatcher': self._dispatcher}
        plain_args = {'scheduler': self._plain_scheduler}
        return [
            web.url('/v1/places', placement_handlers.PlacementHandler, args),
            web.url(
                '/v1/places/preview', placement_handlers.PreviewHandler, args
            ),
            web.url('/v1/quotas', placement_handlers.QuotaHandler, args),
            web.url('/v1/places/end', placement_handlers.ReleaseHandler, args),
            web.url(
                '/v1/places/read', placement_handlers.PrefillDoneHandler, args
            ),
            web.url(
                '/v1/places/first-event',
                placement_handlers.FirstEventHandler,
                args,
            ),
            web.url(
                '/v1/places/held', placement_handlers.RestoreHandler, args
            ),
            web.url('/v1/streams', placement_handlers.StreamsHandler, args),
            web.url('/v1/limits', placement_handlers.LimitHandler, args),
            web.url(
                '/v1/plain-slots', plain_handlers.PlainSlotHandler, plain_args
            ),
            web.url(
                '/v1/plain-slots/end',
                plain_handlers.PlainSlotReturnHandler,
                plain_args,
            ),
        ]

    def start(self) -> None:
        """Start the dispatcher."""
        self._dispatcher.start()
        self._plain_scheduler.start()

    def stop(self) -> None:
        """Stop the dispatcher."""
        self._dispatcher.stop()
        self._plain_scheduler.stop()
