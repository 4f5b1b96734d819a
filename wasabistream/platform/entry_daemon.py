"""Program of the entry daemon."""

import sys

from wasabistream.platform.daemons import run_daemon
from wasabistream.platform.entry_applications import PlatformEntry

if __name__ == '__main__':
    sys.exit(run_daemon(PlatformEntry))
