"""Commands under `wasabistream measure`, which run load measurements."""

import importlib
from typing import Any


class MeasureCommands:
    """Measure the daemons with stand-ins for engines and services."""

    def relay(self, **options: Any) -> None:
        """Compare token gaps of relayed streams with those of direct streams."""
        _run_measurement('relay', options)

    def policy(self, **options: Any) -> None:
        """Compare admission and routing policies with baselines."""
        _run_measurement('policy', options)

    def datacentre(self, **options: Any) -> None:
        """Take a data centre out of service and back under load."""
        _run_measurement('datacentre', options)

    def config(self, **options: Any) -> None:
        """Measure the time until a new document is in force everywhere."""
        _run_measurement('config', options)

    def control(self, **options: Any) -> None:
        """Measure what links and load reports cost, by backend server count."""
        _run_measurement('control', options)

    def state(self, **options: Any) -> None:
        """Measure the memory and CPU time of process state, per item."""
        _run_measurement('state', options)


def _run_measurement(name: str, options: dict[str, Any]) -> None:
    # Imported only here, so that daemons do not load the measuring tools.
    module = importlib.import_module(f'wasabistream_tools.measure_{name}')
    module.run(**options)
