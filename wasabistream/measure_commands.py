"""Commands of the load and experiment tool."""

import importlib
from typing import Any


class MeasureCommands:
    """Measure the real daemons against stand-ins."""

    def relay(self, **options: Any) -> None:
        """Compare the token path with the direct path."""
        _run('relay', options)

    def policy(self, **options: Any) -> None:
        """Compare the policies on one workload."""
        _run('policy', options)

    def datacentre(self, **options: Any) -> None:
        """Take a data centre out and back under load."""
        _run('datacentre', options)

    def config(self, **options: Any) -> None:
        """Measure how fast a document is in force everywhere."""
        _run('config', options)

    def control(self, **options: Any) -> None:
        """Measure control cost by the number of backend servers."""
        _run('control', options)

    def state(self, **options: Any) -> None:
        """Measure memory and CPU time of state, per item."""
        _run('state', options)


def _run(name: str, options: dict[str, Any]) -> None:
    # The tools are imported only here, so that the daemons never load them.
    tool = importlib.import_module(f'wasabistream_tools.measure_{name}')
    tool.run(**options)
