"""Whether an agent may take new work for its backend server."""

import logging

from wasabistream.configurations import ConfigurationStore
from wasabistream.exceptions import ConfigurationError
from wasabistream.notices import VmListBody
from wasabistream.settings import AgentSettings
from wasabistream.vms import parse_vm_list

logger = logging.getLogger(__name__)

NO_DOCUMENT = 'no_document'
DRAINING = 'draining'


class Availability:
    """Decide by document, VM list and drain whether new work is taken."""

    def __init__(
        self, settings: AgentSettings, configuration: ConfigurationStore
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        # The VM list shows the VM of this agent as leaving.
        self._listed_leaving = False
        self.draining = False

    @property
    def leaving(self) -> bool:
        """Tell whether entries must send new work elsewhere."""
        return self.refusal() not in {'', NO_DOCUMENT}

    def refusal(self) -> str:
        """Return why new work is refused, or nothing."""
        if self.draining:
            return DRAINING
        return self.removal()

    def removal(self) -> str:
        """Return why work that has not started is refused, or nothing.

        A process that drains still starts the work it has accepted.
        """
        if self._listed_leaving:
            return 'leaving'
        version = self._configuration.version
        if version is None:
            return NO_DOCUMENT
        document = version.document
        if not document.data_centre_in_service(self._settings.data_centre):
            return 'data_centre_out'
        if self._settings.process_id in document.backend_servers_out:
            return 'backend_out'
        return ''

    def apply_list(self, part: VmListBody) -> bool:
        """Follow the VM list; tell whether the own state changed."""
        try:
            vm_list = parse_vm_list(part.body, part.list_index)
        except ConfigurationError as error:
            logger.error('agent: VM list refused: %s', error)
            return False
        before = self._listed_leaving
        self._listed_leaving = vm_list.is_leaving(self._settings.process_id)
        return self._listed_leaving != before
