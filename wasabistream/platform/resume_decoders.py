"""Decoder of what a caller states about a stream that it resumes."""

import re
from collections.abc import Mapping

from wasabistream.continuations.resume_decisions import ResumeClaim
from wasabistream.forwarding.requests import Headers
from wasabistream.platform import header_names as names

# Longer ids are refused as malformed.
MAX_ID_CHARACTERS = 128
# Visible ASCII without the comma, with which repeated headers are joined.
SINGLE_TEXT = re.compile(r'[\x21-\x2b\x2d-\x7e]+')


def decode_resume_claim(
    headers: Mapping[str, str], forwarded_headers: Headers
) -> ResumeClaim | None:
    """Return the claim of a request that has the id of a last event."""
    event_id = headers.get(names.LAST_EVENT_ID)
    if event_id is None:
        return None
    first_id = headers.get(names.RESUMES, '')
    is_forwarded = (names.LAST_EVENT_ID, event_id) in forwarded_headers
    return ResumeClaim(
        first_request_id=first_id if _is_single(first_id) else '',
        has_event_id=is_forwarded and _is_single(event_id),
    )


def _is_single(text: str) -> bool:
    return (
        len(text) <= MAX_ID_CHARACTERS
        and SINGLE_TEXT.fullmatch(text) is not None
    )
