"""Name the functions, classes and methods that nothing calls.

Fields of dataclasses and models are left out: they are read where they
are sent or shown as a whole. Names that a library calls stand under
``tool.vulture`` in pyproject.toml.
"""

import sys

from vulture import config
from vulture import core

KINDS = ('class', 'function', 'import', 'method', 'property')
KINDS_ALWAYS = ('unreachable_code',)


def main() -> int:
    """Print what is not used; return the exit code."""
    settings = config.make_config([])
    tree = core.Vulture(
        ignore_names=settings['ignore_names'],
        ignore_decorators=settings['ignore_decorators'],
    )
    tree.scavenge(settings['paths'])
    found = [
        item
        for item in tree.get_unused_code()
        if item.typ in KINDS or item.typ in KINDS_ALWAYS
    ]
    for item in found:
        print(f'{item.filename}:{item.first_lineno}: {item.message}')
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
