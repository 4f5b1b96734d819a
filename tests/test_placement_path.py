"""End-to-end test of model placement, with daemons as separate processes."""

import time
import unittest
from typing import Any

from wasabistream_tools.demo import demo_document
from wasabistream_tools.fleet import Fleet

SERVER_NAMES = ('engine-1', 'engine-2', 'engine-3')
WAIT_LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.1


class PlacementEndToEndTest(unittest.TestCase):
    """Guard a model against the loss of its last replica during a change."""

    def setUp(self) -> None:
        """Start engines that all serve one model."""
        self.fleet = Fleet()
        self.addCleanup(self.fleet.stop)
        for name in SERVER_NAMES:
            self.fleet.add_engine(name, 'dc-a')
        self.fleet.add_entry('entry-1', 'dc-a')
        self.fleet.publish_vms()

    def test_second_model(self) -> None:
        """Guard against a model without a replica while engines change models."""
        document = demo_document()
        document['weight_loads_per_minute'] = 600
        models = document['models']
        models.append({**models[0], 'name': 'drafter', 'weight': 2})
        self.fleet.publish_document(document)
        self.fleet.wait_until_ready(len(SERVER_NAMES))
        counts: dict[str, int] = {}
        deadline = time.monotonic() + WAIT_LIMIT_SECONDS
        while counts != {'assistant': 1, 'drafter': 2}:
            self.assertLess(time.monotonic(), deadline, counts)
            time.sleep(POLL_SECONDS)
            counts = self._model_counts()
            self.assertGreaterEqual(counts.get('assistant', 0), 1)

    def _model_counts(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for name in SERVER_NAMES:
            for model in self._state(name)['models']:
                counts[model] = counts.get(model, 0) + 1
        return counts

    def _state(self, name: str) -> Any:
        url = self.fleet.processes[f'{name}-engine'].url
        return self.fleet.http.request('GET', f'{url}/state').json()
