"""Tests of patches and of the document in force."""

import json
import threading
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import build_document, build_full_document
from tests.waits import OVERTAKING_SECONDS
from wasabistream.configurations import ConfigurationStore
from wasabistream.documents import canonical_json
from wasabistream.patches import PatchError, apply_patch, make_patch
from wasabistream.signals import document_changed, document_refused

ENTRIES = st.lists(
    st.builds(
        lambda name, weight: {'name': name, 'weight': weight},
        st.sampled_from('abcdef'),
        st.integers(0, 3),
    ),
    unique_by=lambda entry: entry['name'],
    max_size=5,
)
OBJECTS = st.fixed_dictionaries(
    {'models': ENTRIES, 'revision': st.integers(1, 3)},
    optional={'extra': st.integers(), 'outs': st.lists(st.text())},
)


def encode(raw: Any) -> bytes:
    """Return the JSON bytes of a value."""
    return json.dumps(raw).encode()


class PatchTest(unittest.TestCase):
    """Guard against a patch that gives another document."""

    @settings(deadline=None)
    @given(OBJECTS, OBJECTS)
    def test_patch_gives_target(self, base: Any, target: Any) -> None:
        """Guard against a patch that gives another result than its target."""
        before, after = canonical_json(base), canonical_json(target)
        patch = make_patch(before, after)
        if patch is not None:
            self.assertEqual(apply_patch(before, patch), after)

    def test_small_change_is_small(self) -> None:
        """Guard against a patch that also sends unchanged organisations."""
        raw = build_full_document()
        raw['organisations'] = [
            {'name': f'org-{number}', 'credential_sha256': f'{number:064x}'}
            for number in range(1000)
        ]
        before = canonical_json(raw)
        raw['organisations'][7]['priority_weight'] = 3
        patch = make_patch(before, canonical_json(raw))
        self.assertLess(len(patch or before), 300)

    @settings(deadline=None)
    @given(st.binary() | OBJECTS.map(encode))
    def test_broken_patch(self, patch: bytes) -> None:
        """Guard against malformed patches that end the relay thread."""
        try:
            apply_patch(canonical_json(build_full_document()), patch)
        except PatchError:
            return
        self.fail('a patch without its fields was applied')


class StoreTest(unittest.TestCase):
    """Guard the selection of the document in force."""

    def test_bad_document_is_reported(self) -> None:
        """Guard against an invalid document that is applied or not reported."""
        store = ConfigurationStore()
        store.offer(encode(build_full_document(revision=3)), 'test')
        causes: list[object] = []
        with document_refused.connected_to(
            lambda sender, **sent: causes.append(sent['cause']), store
        ):
            store.offer(encode(build_full_document(revision='x')), 'service')
        self.assertEqual(causes, ['service'])
        self.assertEqual(store.latest_version_id[0], 3)
        self.assertIsNotNone(store.refusal)

    def test_order_is_total(self) -> None:
        """Guard against processes that keep different documents.

        They may receive the same versions in different orders.
        """
        bodies = [
            encode(build_document(revision=revision, backend_servers_out=outs))
            for revision in (1, 2)
            for outs in ([], ['engine-1'])
        ]
        final_version_ids = set()
        for received in (bodies, list(reversed(bodies)), (bodies[2], *bodies)):
            store = ConfigurationStore()
            version_ids = []
            for body in received:
                store.offer(body, 'test')
                version_ids.append(store.latest_version_id)
            self.assertEqual(version_ids, sorted(version_ids))
            final_version_ids.add(store.latest_version_id)
        self.assertEqual(len(final_version_ids), 1)

    def test_changes_are_announced_in_order(self) -> None:
        """Guard against an older document that is applied after a later one.

        The later one arrives while the older one is being announced.
        """
        store = ConfigurationStore()
        later = threading.Thread(
            target=store.offer, args=(encode(build_document(revision=2)), 'b')
        )
        announced: list[str] = []

        def receive(sender: object, subject: str, **_: object) -> None:
            if subject == '1':
                later.start()
                later.join(OVERTAKING_SECONDS)
            announced.append(subject)

        with document_changed.connected_to(receive, store):
            store.offer(encode(build_document(revision=1)), 'a')
            later.join()
        self.assertEqual(announced, ['1', '2'])
