"""Authentication of callers by bearer credentials."""

import hashlib
import hmac

from wasabistream.documents import Document, Organisation
from wasabistream.exceptions import RequestError
from wasabistream.http_servers import HttpRequest


def authenticate(document: Document, request: HttpRequest) -> Organisation:
    """Return the organisation that sent a request; raises RequestError."""
    scheme, _, credential = request.headers.get('authorization', '').partition(
        ' '
    )
    digest = hashlib.sha256(credential.strip().encode()).hexdigest()
    organisation = document.organisations_by_digest.get(digest)
    expected = (
        organisation.credential_sha256 if organisation else '0' * len(digest)
    )
    is_valid = hmac.compare_digest(digest, expected)
    if scheme.lower() != 'bearer' or not is_valid or organisation is None:
        raise RequestError('credential is not valid', 401, 'invalid_api_key')
    return organisation
