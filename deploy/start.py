"""Start an entry VM from the compiled copy that the build makes.

The command line is left out: its libraries take as long to load as the daemon's, and
a VM that restarts is missing until it has loaded them.
"""

from gevent import monkey

monkey.patch_all()

import sys

from lagoonlatch.entry.process import entry

if __name__ == "__main__":
    sys.exit(entry())
