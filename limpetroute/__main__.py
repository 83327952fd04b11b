"""Run the command line with ``python -m limpetroute``."""

import sys

from limpetroute.cli import main

if __name__ == '__main__':
    sys.exit(main.main())
