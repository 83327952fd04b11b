"""First step of the shipped file: unpack, or say why that fails.

The libraries have compiled parts, which Python cannot load from inside
a zip file: the file unpacks itself once into a cache folder, and later
starts use what is there. It starts no other process.
"""

import os
import sys

BUILT_FOR = '@PYTHON@'
EXIT_SETTINGS = 2


def fail(text):
    """End with one line instead of a traceback."""
    print(f'limpetroute: {text}', file=sys.stderr)
    sys.exit(EXIT_SETTINGS)


def bootstrap():
    """Unpack if need be, then run the program."""
    running = f'{sys.version_info.major}.{sys.version_info.minor}'
    if running != BUILT_FOR:
        fail(f'built for Python {BUILT_FOR}, not for {running}')
    import _bootstrap

    root = os.environ.get('SHIV_ROOT') or '~/.shiv'
    try:
        _bootstrap.bootstrap()
    except OSError as exc:
        # A full or read-only disk, or a user without a home folder. What
        # is half unpacked is never started: the folder gets its name
        # only when it is whole. Only errors before the program began
        # come here, for it ends by SystemExit or its own messages.
        if 'limpetroute.cli.main' in sys.modules:
            raise
        fail(
            f'cannot unpack into {root}: {exc.strerror or exc}; '
            'set SHIV_ROOT to a folder on a writable disk with 100 MB free'
        )


bootstrap()
