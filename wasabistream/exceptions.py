"""Errors raised by wasabistream."""

from wasabistream.outcomes import Outcome


class WasabiError(Exception):
    """Report an error with the step and the peer where it occurred."""

    def __init__(self, reason: str, step: str, peer: str = '') -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        if self.peer:
            return f'{self.step} with {self.peer}: {self.reason}'
        return f'{self.step}: {self.reason}'


class SettingsError(WasabiError):
    """Report all invalid settings of a process."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('; '.join(problems), step='settings')
        self.problems = problems


class DocumentError(WasabiError):
    """Report all problems of a document."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('; '.join(problems), step='document')
        self.problems = problems


class FrameError(WasabiError):
    """Report a malformed, oversized or unknown frame."""


class LinkError(WasabiError):
    """Report a link that cannot be opened, was closed or timed out."""


class InspectionError(WasabiError):
    """Report log files that cannot be read or options that are not valid."""


class BackendError(WasabiError):
    """Report a backend server that failed during a request."""


class BackendTimeoutError(BackendError):
    """Report a backend server that has not answered in time."""


class NotRunError(BackendError):
    """Report a request that a backend server cannot have run."""


class StoreError(WasabiError):
    """Report a platform store that cannot be reached, read or decoded."""


class HistoryLostError(StoreError):
    """Report that the platform store no longer has the changes asked for."""


class ConfigurationError(WasabiError):
    """Report a configuration service that cannot be reached or decoded."""


class MemoryLimitError(WasabiError):
    """Report that no memory of the process is left for a request."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason, step='memory')


class RequestError(WasabiError):
    """Report an invalid request of a caller, with the status to answer."""

    def __init__(self, reason: str, status: int, code: str) -> None:
        super().__init__(reason, step='request')
        self.status = status
        self.code = code


class AttemptError(WasabiError):
    """Report an attempt that was refused or ended without its answer."""

    def __init__(
        self,
        reason: str,
        outcome: Outcome,
        peer: str = '',
        retry_after_seconds: float = 0,
    ) -> None:
        super().__init__(reason, step='attempt', peer=peer)
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
