"""Program of the entry daemon."""

import signal

# The application sets its handler once it runs; until then SIGHUP would end
# the process. It reads its settings afterwards in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from wasabistream.platform.daemons import run_daemon  # noqa: E402
from wasabistream.platform.entry_applications import PlatformEntry  # noqa: E402
from wasabistream.stop_limits import end_process  # noqa: E402

if __name__ == '__main__':
    end_process(run_daemon(PlatformEntry))
