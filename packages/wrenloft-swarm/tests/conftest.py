"""Makes the model of virtual time importable by the tests of this folder."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
