"""Start an entry VM from the compiled copy that the build makes.

The command line is left out: its libraries take as long to load as the daemon's, and
a VM that restarts is missing until it has loaded them.
"""

from gevent import events

# gevent looks for plugins at each of some 25 steps of patching, and reads the metadata
# of every installed package each time; there are none.
events.notify_and_call_entry_points = events.notify

from gevent import monkey

monkey.patch_all()

import os
import sys

from lagoonlatch.entry.process import entry

if __name__ == "__main__":
    sys.exit(entry(metrics_port=int(os.environ.get("LAGOONLATCH_METRICS_PORT", "0"))))
