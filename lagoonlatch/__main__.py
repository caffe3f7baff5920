"""The entry point of the program ``lagoonlatch``."""

from gevent import monkey

monkey.patch_all()

import sys

from lagoonlatch.cli import run


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
