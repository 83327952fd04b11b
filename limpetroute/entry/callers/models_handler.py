"""``GET /v1/models``."""

from limpetroute.entry.callers import base_handler


class ModelsHandler(base_handler.BaseHandler):
    """Lists the models that the current runners serve."""

    def get(self) -> None:
        """Answer with the list."""
        names: set[str] = set()
        for body in self.host.runners.all():
            names.update(body.models)
        data = [
            {
                'id': name,
                'object': 'model',
                'created': 0,
                'owned_by': 'limpetroute',
            }
            for name in sorted(names)
        ]
        self.finish({'object': 'list', 'data': data})
