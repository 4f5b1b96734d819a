"""Commands under `wasabistream measure`, which run load measurements."""

import importlib
from typing import Any


class MeasureCommands:
    """Measure the real daemons against stand-ins."""

    def relay(self, **options: Any) -> None:
        """Compare the token path with the direct path."""
        _run_measurement('relay', options)

    def policy(self, **options: Any) -> None:
        """Compare the policies on one workload."""
        _run_measurement('policy', options)

    def datacentre(self, **options: Any) -> None:
        """Take a data centre out and back under load."""
        _run_measurement('datacentre', options)

    def config(self, **options: Any) -> None:
        """Measure how fast a document is in force everywhere."""
        _run_measurement('config', options)

    def control(self, **options: Any) -> None:
        """Measure control cost by the number of backend servers."""
        _run_measurement('control', options)

    def state(self, **options: Any) -> None:
        """Measure memory and CPU time of state, per item."""
        _run_measurement('state', options)


def _run_measurement(name: str, options: dict[str, Any]) -> None:
    # Imported only here, so that daemons do not load the measuring tools.
    module = importlib.import_module(f'wasabistream_tools.measure_{name}')
    module.run(**options)
