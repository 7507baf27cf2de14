"""Entry point of ``python -m lovagemast_node``."""

import sys

from ._daemon import main

sys.exit(main())
