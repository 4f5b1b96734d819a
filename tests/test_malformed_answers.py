"""Tests of answers whose head or chunks are not HTTP.

Failure pattern: a server spoils one line of a head; the lines after it, which
frame the body, are lost, and the raw chunked stream passes for the body of a
success.
"""

import unittest

from tests.byte_servers import ANSWER_HEAD, send_once, serve_bytes
from tests.test_cut_heads import CLIENTS, open_request
from wasabistream.exceptions import BackendError

CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
CHUNKED_BODY = b'4\r\nbody\r\n0\r\n\r\n'
SPOILED_LINES = (
    b'D\x80te\x01 Sat, 05 Dec 2026 09:00:00 GMT\r\n',
    b'no field\r\n',
    b': no name\r\n',
    b'Space : before the colon\r\n',
    b' folded: line\r\n',
    b'Control: \x00\r\n',
    b'Bare: return\rX: y\r\n',
    b'Bare: return\r\rX: y\r\n',
    b'Bare: feed\n',
    b'From server Sat\r\n',
)
STATUS_LINES = (
    b'HTTP/1.1 2_0 OK\r\n',
    b'HTTP/1.1 +200 OK\r\n',
    b'HTTP/1.1  200 OK\r\n',
    b'HTTP/1.x 200 OK\r\n',
    b'HTTP/1.1 200 \x01\r\n',
    b'HTTP/1.1 200 OK\n',
)
SPOILED_CHUNKS = (
    b'-1\r\nbody\r\n0\r\n\r\n',
    b'+4\r\nbody\r\n0\r\n\r\n',
    b'0x4\r\nbody\r\n0\r\n\r\n',
    b'0_4\r\nbody\r\n0\r\n\r\n',
    b' 4\r\nbody\r\n0\r\n\r\n',
    b'4\nbody\r\n0\r\n\r\n',
    b'4\r\nbodyXY0\r\n\r\n',
    b'3\r\nbody\r\n0\r\n\r\n',
    b'4\r\nbody\r\n0_0\r\n\r\n',
    b'4\r\nbody\r\n0\r\nno field\r\n\r\n',
    b'4\r\nbody\r\n0\r\n\n',
)


def read_answer(raw: bytes) -> bytes:
    """Return the body that an entry reads from these bytes."""
    with serve_bytes(send_once(raw)) as server:
        exchange = open_request(server.port)
        try:
            return b''.join(iter(exchange.read, b''))
        finally:
            exchange.close()


class MalformedHeadTest(unittest.TestCase):
    """Guard against a head that is taken though it is no HTTP."""

    def test_spoiled_lines(self) -> None:
        """Guard against a chunked stream that passes for a body.

        The spoiled line comes first, in the middle and last.
        """
        for line in SPOILED_LINES:
            first, rest = ANSWER_HEAD.split(b'\r\n', 1)
            for head in (
                b'%s\r\n%s%s%s' % (first, line, rest, CHUNKED),
                ANSWER_HEAD + line + CHUNKED,
                ANSWER_HEAD + CHUNKED[:-2] + line + b'\r\n',
            ):
                with self.assertRaises(BackendError, msg=head):
                    read_answer(head + CHUNKED_BODY)

    def test_interim_heads(self) -> None:
        """Guard against a spoiled line before the head of the answer."""
        interim = b'HTTP/1.1 100 Continue\r\n%s\r\n'
        final = ANSWER_HEAD + CHUNKED + CHUNKED_BODY
        self.assertEqual(read_answer(interim % b'A: b\r\n' + final), b'body')
        with self.assertRaises(BackendError):
            read_answer(interim % b'no field\r\n' + final)

    def test_status_lines(self) -> None:
        """Guard against a status that is read from a spoiled line."""
        for line in STATUS_LINES:
            with self.assertRaises(BackendError, msg=line):
                read_answer(
                    ANSWER_HEAD.replace(b'HTTP/1.1 200 OK\r\n', line)
                    + b'Content-Length: 4\r\n\r\nbody'
                )

    def test_clients_of_all_programs(self) -> None:
        """Guard against a client that reads heads without the check."""
        for line in SPOILED_LINES:
            raw = ANSWER_HEAD + line + b'Content-Length: 2\r\n\r\n{}'
            for call, error_type in CLIENTS:
                with serve_bytes(send_once(raw)) as server:
                    with self.assertRaises(error_type, msg=(call, line)):
                        call(server.port)

    def test_proper_lines(self) -> None:
        """Guard against a check that rejects what RFC 9112 allows."""
        fields = b"Empty:\r\nTab:\ta\r\n!#$%&'*+-.^_`|~9: \xe9\r\n"
        for status in (b'HTTP/1.1 200 OK', b'HTTP/1.1 200 ', b'HTTP/1.0 200'):
            head = ANSWER_HEAD.replace(b'HTTP/1.1 200 OK', status) + fields
            self.assertEqual(
                read_answer(head + b'Content-Length: 4\r\n\r\nbody'), b'body'
            )
        chunks = b'02;a=b\r\nbo\r\n2 ;c\r\ndy\r\n0\r\nTrailer: a\r\n\r\n'
        self.assertEqual(read_answer(ANSWER_HEAD + CHUNKED + chunks), b'body')


class MalformedChunkTest(unittest.TestCase):
    """Guard against a body whose chunks cannot be told apart."""

    def test_spoiled_chunks(self) -> None:
        """Guard against a part of a body that passes for the whole."""
        for chunks in SPOILED_CHUNKS:
            with self.assertRaises(BackendError, msg=chunks):
                read_answer(ANSWER_HEAD + CHUNKED + chunks)


if __name__ == '__main__':
    unittest.main()
