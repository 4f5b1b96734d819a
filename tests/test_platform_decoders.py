"""Tests of the decoders of the platform adapter."""

import unittest
from unittest.mock import Mock

from hypothesis import given
from hypothesis import strategies as st

from tests.platform_builders import CONFIGURATION, NODE, SERVER
from wasabistream.exceptions import BackendError, SettingsError
from wasabistream.forwarding.routes import RouteKind
from wasabistream.forwarding.server_advisories import NO_LIMIT
from wasabistream.platform import header_names as names
from wasabistream.platform.advisory_decoders import decode_advisory
from wasabistream.platform.decode_errors import DECODE_ERRORS
from wasabistream.platform.engine_clients import decode_state
from wasabistream.platform.node_files import decode_node, read_node_file
from wasabistream.platform.request_decoders import decode_request
from wasabistream.platform.store_decoders import (
    decode_configuration,
    decode_server,
)

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=8,
)
REPORT = {'running': 3, 'waiting': 1, 'kv_used': 41000, 'kv_total': 90000}


class DecoderTest(unittest.TestCase):
    """Guard against values that stop a process or are decoded wrongly."""

    def test_longest_prefix(self) -> None:
        """Guard against a route that hides one with a longer prefix."""
        configuration = decode_configuration(CONFIGURATION)
        route = configuration.find_route('host.example', '/chat/desk/x')
        self.assertEqual(route.name if route else '', 'desk')
        route = configuration.find_route('host.example', '/chat/other')
        self.assertEqual(route.name if route else '', 'chat')
        self.assertIsNone(configuration.find_route('host.example', '/chat'))

    def test_route_fields(self) -> None:
        """Guard against milliseconds that are decoded as seconds."""
        configuration = decode_configuration(CONFIGURATION)
        route = configuration.find_route('host.example', '/chat/a')
        self.assertIsNotNone(route)
        if route is not None:
            self.assertEqual(route.kind, RouteKind.streaming)
            self.assertEqual(route.timeout_seconds, 6)
            self.assertTrue(route.repeatable)

    def test_last_organisation_is_removed(self) -> None:
        """Guard against serving everybody once no organisation is left."""
        emptied = decode_configuration({**CONFIGURATION, 'tenants': []})
        self.assertEqual(emptied.key_holders, {})
        without = {**CONFIGURATION}
        without.pop('tenants')
        self.assertIsNone(decode_configuration(without).key_holders)

    def test_split_by_weight(self) -> None:
        """Guard against traffic for a service whose weight is zero."""
        configuration = decode_configuration(CONFIGURATION)
        route = configuration.find_route('host.example', '/chat/desk/')
        services = {route.draw_service() for _ in range(50)} if route else set()
        self.assertEqual(services, {'desk'})

    def test_urgency(self) -> None:
        """Guard against digests that engines admit before urgent streams."""
        chat = CONFIGURATION['routes'][0]
        digests = {
            **chat,
            'name': 'digests',
            'prefix': '/digests/',
            'target_latency_ms': 4000,
            'priority': 2,
        }
        expected = {'/chat/': (2, 1), '/digests/': (3, 1)}
        for path, urgencies in expected.items():
            received = Mock(
                method=b'POST',
                uri=path.encode(),
                inheaders={
                    b'Host': b'host.example',
                    b'Authorization': b'Bearer key-1',
                    names.REQUEST_ID.encode(): b'request-1',
                },
            )
            # Without the other route, neither is deferrable.
            for routes, urgency in zip(
                ([chat, digests], [{**digests, 'prefix': path}]),
                urgencies,
                strict=True,
            ):
                configuration = decode_configuration(
                    {**CONFIGURATION, 'routes': routes}
                )
                request = decode_request(configuration, received, b'')
                self.assertEqual(request.engine_urgency, urgency)

    def test_endless_tokens(self) -> None:
        """Guard against stated tokens that fail the choices of all requests."""
        configuration = decode_configuration(CONFIGURATION)
        cases = (
            (b'3000,800', b'inf'),
            (b'3000,800', b'1e400'),
            (b'3000,800', b'nan'),
            (b'3000,800', b'-1e300'),
            (b'3000,1%s' % (b'0' * 400), b'300'),
            (b'-1%s,800' % (b'0' * 400), b'300'),
        )
        for tokens, hint in cases:
            received = Mock(
                method=b'POST',
                uri=b'/chat/',
                inheaders={
                    b'Host': b'host.example',
                    b'Authorization': b'Bearer key-1',
                    names.REQUEST_ID.encode(): b'request-1',
                    names.TOKENS.encode(): tokens,
                    names.LENGTH_HINT.encode(): hint,
                },
            )
            request = decode_request(configuration, received, b'')
            self.assertIsNone(request.demand)

    def test_server_fields(self) -> None:
        """Guard against a wrong address or cold time of a server."""
        server = decode_server('s1', SERVER)
        self.assertEqual(server.endpoint, '10.128.0.9:8080')
        self.assertEqual(server.cold_remaining_seconds, 1.5)

    @given(JSON_VALUES, st.sampled_from(sorted(SERVER)))
    def test_malformed_server_fields(
        self, field_value: object, name: str
    ) -> None:
        """Guard against a malformed server item that stops the process."""
        try:
            decode_server('s1', {**SERVER, name: field_value})
        except DECODE_ERRORS as error:
            self.assertIsInstance(error, Exception)

    @given(JSON_VALUES)
    def test_any_report(self, body: object) -> None:
        """Guard against a malformed report that stops the agent."""
        try:
            decode_state(body, 'engine')
        except BackendError as error:
            self.assertEqual(error.step, 'report')

    def test_stated_rate_limit(self) -> None:
        """Guard against a malformed rate limit that is taken for one.

        Such a statement neither sets a limit nor ends the one before.
        """
        limits = {
            '2.5': 2.5,
            ' 0 ': 0.0,
            '999999999999': 999999999999.0,
            '-1': None,
            '+1': None,
            'nan': None,
            'inf': None,
            '1e3': None,
            '1,5': None,
            '1.': None,
            '': None,
            '1' * 400: None,
            '\u0661': None,
        }
        for text, expected in limits.items():
            advisory = decode_advisory(200, {'server-limit': text}, 'server')
            self.assertEqual(advisory.limit_per_second, expected, text)
        self.assertEqual(
            decode_advisory(200, {}, 's').limit_per_second, NO_LIMIT
        )

    def test_leaving_report(self) -> None:
        """Guard against overlooking that an engine is about to leave."""
        runs = [['a', 3000, 12, 1]]
        leaving = decode_state(
            {**REPORT, 'leaves_ms': 1500, 'runs': runs}, 'engine'
        )
        self.assertTrue(leaving.leaving)
        self.assertEqual(leaving.leaves_seconds, 1.5)
        self.assertEqual(leaving.runs[0].event_count, 12)
        draining = decode_state({**REPORT, 'state': 'draining'}, 'engine')
        self.assertTrue(draining.leaving)
        self.assertFalse(decode_state(REPORT, 'engine').leaving)

    def test_start_of_an_engine(self) -> None:
        """Guard against an engine that counts as silent for one odd field."""
        self.assertEqual(decode_state(REPORT, 'engine').started_unix_ms, 0)
        for start, started_unix_ms in (
            (1_700_000_000_000, 1_700_000_000_000),
            (0, 0),
            (-1, 0),
            (2**70, 0),
            ('yesterday', 0),
            ([], 0),
            (True, 0),
        ):
            state = decode_state({**REPORT, 'born': start}, 'engine')
            self.assertEqual(state.started_unix_ms, started_unix_ms, start)

    def test_node_file(self) -> None:
        """Guard against settings that are decoded wrongly."""
        node = decode_node(NODE)
        self.assertEqual(node.bounds.grace_seconds, 8)
        self.assertEqual(node.seeds[1].address, '10.2.0.13')
        self.assertIsNone(node.backend)

    def test_unknown_fields_are_ignored(self) -> None:
        """Guard against a process that stops at fields of a newer platform."""
        node = decode_node({**NODE, 'new': {'field': 1}})
        self.assertEqual(node.process_id, 'front-a-1')

    def test_missing_node_file(self) -> None:
        """Guard against a start with settings that cannot be read."""
        with self.assertRaises(SettingsError):
            read_node_file('/nowhere/node.yaml')
