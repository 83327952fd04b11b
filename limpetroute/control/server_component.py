"""Optional components of a control process."""

import typing

from tornado import web

from limpetroute.control import node as node_module


class ServerComponent(typing.Protocol):
    """A component that runs in the process of a control host's node."""

    def routes(self) -> list[web.URLSpec]:
        """Return its handlers for the port between hosts."""

    def start(self) -> None:
        """Start the component."""

    def stop(self) -> None:
        """Stop the component."""


class MakeComponent(typing.Protocol):
    """Creates a component."""

    def __call__(self, *, node: node_module.Node) -> ServerComponent:
        """Create the component for a node."""
