"""Something that measures figures."""

import typing

from limpetroute.bench.capacity import figure


class Probe(typing.Protocol):
    """Measures a few figures of one part."""

    def measure(self) -> list[figure.Figure]:
        """Run the measurement; it ends by itself within seconds."""
