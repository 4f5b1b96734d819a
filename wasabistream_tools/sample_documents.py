"""Small configuration documents for the fleets that tools start."""

from collections.abc import Mapping, Sequence
from typing import Any

from wasabistream_tools.fleet import credential_digest

MODEL = 'assistant'
SERVICE = 'booking'


def sample_document(
    credential: str,
    data_centres: Sequence[str],
    service_fields: Mapping[str, float],
) -> dict[str, Any]:
    """Return a document with one model, one service and one organisation.

    `service_fields` are added to the service, such as its time limits.
    """
    return {
        'format': 1,
        'revision': 1,
        'models': [
            {'name': MODEL, 'version': '1', 'data_centres': list(data_centres)}
        ],
        'data_centres': [{'name': name} for name in data_centres],
        'organisations': [
            {
                'name': 'desk',
                'credential_sha256': credential_digest(credential),
                'models': [MODEL],
                'services': [SERVICE],
            }
        ],
        'services': [
            {
                'name': SERVICE,
                'non_repeatable': [
                    {'method': 'POST', 'path_prefix': '/bookings'}
                ],
                **service_fields,
            }
        ],
    }
