"""Settings for the traffic between data centres, from the environment."""

import math
from collections.abc import Mapping

from wasabistream.exceptions import SettingsError
from wasabistream.spillover.remote_losses import RemoteCosts
from wasabistream.units import MILLISECONDS_PER_SECOND

GIGABYTE_COST_VARIABLE = 'WASABISTREAM_REMOTE_GIGABYTE_COST'
DELAY_VARIABLE = 'WASABISTREAM_REMOTE_DELAY_MS'
DEFAULT_COSTS = RemoteCosts()


def read_remote_costs(environment: Mapping[str, str]) -> RemoteCosts:
    """Return the costs from the environment; raises SettingsError."""
    texts = {
        GIGABYTE_COST_VARIABLE: environment.get(
            GIGABYTE_COST_VARIABLE, str(DEFAULT_COSTS.gigabyte_cost)
        ),
        DELAY_VARIABLE: environment.get(
            DELAY_VARIABLE,
            str(DEFAULT_COSTS.delay_seconds * MILLISECONDS_PER_SECOND),
        ),
    }
    problems = tuple(
        f'{name}: {text!r} is no number from 0 on'
        for name, text in texts.items()
        if not _is_amount(text)
    )
    if problems:
        raise SettingsError(problems)
    return RemoteCosts(
        float(texts[GIGABYTE_COST_VARIABLE]),
        float(texts[DELAY_VARIABLE]) / MILLISECONDS_PER_SECOND,
    )


def _is_amount(text: str) -> bool:
    try:
        amount = float(text)
    except ValueError:
        return False
    return math.isfinite(amount) and amount >= 0
