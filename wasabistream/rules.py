"""Types of document fields, annotated with the values that they accept.

The checks of the document and its JSON Schema both use these annotations.
"""

import re
from dataclasses import dataclass
from typing import Annotated

WORK_CLASSES = ('urgent', 'normal', 'patient')
ENGINE_ROLES = ('mixed', 'prefill', 'decode')
HTTP_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


@dataclass(frozen=True)
class Bounds:
    """Require a number in bounds; `above` makes the minimum exclusive."""

    minimum: float
    maximum: float
    above: bool = False

    @property
    def meaning(self) -> str:
        """Describe the accepted numbers."""
        opening = 'above' if self.above else 'from'
        return f'{opening} {self.minimum:g} to {self.maximum:g}'

    def accepts(self, number: float) -> bool:
        """Tell whether a number is in the bounds."""
        if self.above and number <= self.minimum:
            return False
        return self.minimum <= number <= self.maximum


@dataclass(frozen=True)
class Pattern:
    """Require a matching text; a secret text stays out of messages."""

    expression: str
    meaning: str
    secret: bool = False

    def accepts(self, text: str) -> bool:
        """Tell whether the whole text matches."""
        return re.fullmatch(self.expression, text) is not None


@dataclass(frozen=True)
class Choice:
    """Require one of a few texts."""

    names: tuple[str, ...]

    @property
    def meaning(self) -> str:
        """List the accepted texts."""
        return 'one of {0}'.format(', '.join(self.names))

    def accepts(self, text: str) -> bool:
        """Tell whether the text is listed."""
        return text in self.names


Rule = Bounds | Pattern | Choice

Name = Annotated[str, Pattern('^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$', 'a name')]
ModelName = Annotated[
    str, Pattern('^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$', 'a model name')
]
Region = Annotated[
    str, Pattern('^[A-Za-z0-9._:-]{0,128}$', 'a region name or nothing')
]
PathPrefix = Annotated[str, Pattern('^/[!-~]{0,1023}$', 'a path from /')]
CredentialDigest = Annotated[
    str, Pattern('^[0-9a-f]{64}$', '64 lower-case hex digits', secret=True)
]
WorkClass = Annotated[str, Choice(WORK_CLASSES)]
EngineRole = Annotated[str, Choice(ENGINE_ROLES)]
HttpMethod = Annotated[str, Choice(HTTP_METHODS)]
FormatNumber = Annotated[int, Bounds(1, 1)]
# Up to 2**53, JSON readers that use doubles keep integers exact. Every msgpack
# decoder has signed 64-bit integers, in which the revision fits.
Revision = Annotated[int, Bounds(1, 2**53)]
Count = Annotated[int, Bounds(0, 10**9)]
PositiveCount = Annotated[int, Bounds(1, 10**9)]
Weight = Annotated[float, Bounds(0, 10**6, above=True)]
Rate = Annotated[float, Bounds(0, 10**6, above=True)]
Seconds = Annotated[float, Bounds(0, 7 * 86400)]
PositiveSeconds = Annotated[float, Bounds(0, 7 * 86400, above=True)]
