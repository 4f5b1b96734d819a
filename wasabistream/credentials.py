"""Check of the credentials of callers."""

import hashlib
import hmac

from wasabistream.documents import Document, Organisation
from wasabistream.exceptions import RequestError
from wasabistream.http_servers import HttpRequest


def authenticate(document: Document, request: HttpRequest) -> Organisation:
    """Return the organisation of a request; raises RequestError."""
    scheme, _, credential = request.headers.get('authorization', '').partition(
        ' '
    )
    digest = hashlib.sha256(credential.strip().encode()).hexdigest()
    found = document.organisations_by_digest.get(digest)
    expected = found.credential_sha256 if found else '0' * len(digest)
    valid = hmac.compare_digest(digest, expected)
    if scheme.lower() != 'bearer' or not valid or found is None:
        raise RequestError('credential is not valid', 401, 'invalid_api_key')
    return found
