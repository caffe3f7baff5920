"""The benchmark: ``python -m lagoonlatch.load``."""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402

from lagoonlatch.load.commands import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
