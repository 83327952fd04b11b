"""What may be added to a control process."""

import typing

from tornado import web

from limpetroute.control import node as node_module


class ServerComponent(typing.Protocol):
    """Something that runs beside a control host's node."""

    def routes(self) -> list[web.URLSpec]:
        """Return what it serves on the port between hosts."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """End."""


class MakeComponent(typing.Protocol):
    """Makes a part."""

    def __call__(self, *, node: node_module.Node) -> ServerComponent:
        """Make it."""
