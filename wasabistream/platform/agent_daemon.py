"""Program of the agent daemon."""

import sys

from wasabistream.platform.agent_applications import PlatformAgent
from wasabistream.platform.daemons import run_daemon

if __name__ == '__main__':
    sys.exit(run_daemon(PlatformAgent))
