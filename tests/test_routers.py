"""Tests of the routing of requests to backend servers."""

import json
import unittest

from tests.builders import build_vm
from wasabistream.backend_views import BackendView
from wasabistream.cache_reporters import build_cache_report
from wasabistream.digests import hash64
from wasabistream.engines import EngineState
from wasabistream.http_servers import HttpRequest
from wasabistream.notices import LoadReport, ServingReport
from wasabistream.route_queries.router_pages import RouterPage
from wasabistream.routers import (
    MAX_AFFINITY_UNREPORTED_COUNT,
    RouteQuery,
    Router,
)

IDLE_REPORT = LoadReport(0, 20000, 0, 0, 64, leaving=False)
SERVING = ServingReport('', ['assistant'], [], 'decode', ready=True)


class StubLink:
    """Stand in for an open link."""

    closed = False


def build_view(name: str, data_centre: str = 'dc-a') -> BackendView:
    """Return the view of an idle agent with an open link."""
    view = BackendView(build_vm(name, data_centre=data_centre))
    view.link = StubLink()  # type: ignore[assignment]
    view.serving = SERVING
    view.load = IDLE_REPORT
    return view


class RouterTest(unittest.TestCase):
    """Guard against herding, overloaded servers and needless remote work."""

    def setUp(self) -> None:
        """Build a router and a query for one model and prefix."""
        self.router = Router('balanced')
        self.query = RouteQuery('dc-a', model='assistant', prefix=7)

    def test_old_report_keeps_later_sends(self) -> None:
        """Guard against herding after a report older than the last sends.

        The report counts 1 of 3 requests as taken, so 2 still count.
        """
        view = build_view('a')
        for _ in range(3):
            view.add_sent_request()
        view.report(LoadReport(0, 1, 0, 0, 1, False, taken_count=1))
        self.assertEqual(view.unreported_count, 2)

    def test_hot_prefix_spreads(self) -> None:
        """Guard against a frequent prefix that overloads one server."""
        views = [build_view('a'), build_view('b')]
        for _ in range(10 * MAX_AFFINITY_UNREPORTED_COUNT):
            chosen = self.router.route(views, self.query)
            assert chosen is not None
            chosen.add_sent_request(self.query.prefix)
        counts = [view.unreported_count for view in views]
        self.assertGreater(min(counts), MAX_AFFINITY_UNREPORTED_COUNT)

    def test_prefix_is_preferred(self) -> None:
        """Guard against ignoring an idle server with the prefix cached."""
        views = [build_view(name) for name in 'abcd']
        views[2].add_sent_request(self.query.prefix)
        self.assertIs(self.router.route(views, self.query), views[2])

    def test_cache_report_is_used(self) -> None:
        """Guard against different prefix hashes at agent and entry."""
        prefix = hash64('assistant', 'hello')
        state = EngineState(
            0, 1, 0, ('assistant',), (), 'decode', 'boot', ('hello',)
        )
        views = [build_view(name) for name in 'abcd']
        views[1].report(build_cache_report(state))
        query = RouteQuery('dc-a', model='assistant', prefix=prefix)
        self.assertIs(self.router.route(views, query), views[1])

    def test_remote_only_if_local_is_leaving(self) -> None:
        """Guard against remote work while a local server can take it."""
        local, remote = build_view('a'), build_view('b', 'dc-b')
        views = [local, remote]
        self.assertIs(self.router.route(views, self.query), local)
        local.load = LoadReport(0, 1, 0, 0, 1, leaving=True)
        self.assertIs(self.router.route(views, self.query), remote)

    def test_slow_start_after_return(self) -> None:
        """Guard against a burst of work after a return to service."""
        returned, steady = build_view('a'), build_view('b')
        returned.load = LoadReport(0, 1, 0, 0, 1, leaving=True)
        returned.report(IDLE_REPORT)
        self.assertIs(self.router.route([returned, steady], self.query), steady)


class RouterPageTest(unittest.TestCase):
    """Guard the page that explains a choice."""

    def test_queries_tell_the_next_choice(self) -> None:
        """Guard against queries that take a turn, and a wrong server."""
        views = [build_view(name) for name in 'abc']
        views[0].suspect = True
        views[1].pending_count = 2
        for policy, load in (('round_robin', 0), ('least_requests', 2)):
            router = Router(policy)
            page = RouterPage(
                'entry', 'dc-a', policy, router, views.copy, 'key-1'
            )
            answers = {self.ask(page, 'model=assistant') for _ in range(20)}
            chosen = router.route(views, RouteQuery('dc-a', 'assistant'))
            assert chosen is not None
            answer = json.loads(answers.pop())
            self.assertEqual(
                (len(answers), answer['server']), (0, chosen.vm.id)
            )
            rows = answer['servers']
            self.assertEqual(
                [row['excluded'] for row in rows], ['suspect', '', '']
            )
            self.assertEqual(rows[1]['load'], load)
            other = json.loads(self.ask(page, 'service=desk'))
            self.assertEqual(other['decision'], 'wait')
            for text in ('', 'model=a&service=b', 'model=a&model=b', 'x=1'):
                self.assertIn('error', json.loads(self.ask(page, text)))
        self.assertIn(b'403', self.ask(page, 'model=assistant', key='other'))

    def ask(self, page: RouterPage, query: str, key: str = 'key-1') -> bytes:
        """Return status and body of an answer."""
        headers = {'authorization': f'Bearer {key}'}
        answer = page.answer(HttpRequest('GET', '/route', query, headers, b''))
        return answer.body if answer.status < 403 else b'403'
