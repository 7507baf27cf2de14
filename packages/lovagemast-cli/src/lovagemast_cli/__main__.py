"""Entry point of ``python -m lovagemast_cli``."""

import sys

from ._main import main

sys.exit(main())
