"""Whether an agent takes new work for its backend server."""

import logging

from wasabistream.configurations import ConfigurationStore
from wasabistream.exceptions import ConfigurationError
from wasabistream.notices import VmListBody
from wasabistream.settings import AgentSettings
from wasabistream.vms import parse_vm_list

logger = logging.getLogger(__name__)

# No configuration document has come into force yet.
NO_DOCUMENT = 'no_document'
DRAINING = 'draining'


class Availability:
    """Decide whether an agent takes work.

    It depends on the configuration document, on the VM list and on whether
    the agent is draining.
    """

    def __init__(
        self, settings: AgentSettings, configuration: ConfigurationStore
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        # True while the VM list shows the VM of this agent as leaving.
        self._listed_leaving = False
        self.draining = False

    @property
    def leaving(self) -> bool:
        """Tell whether entries must send new work to other agents.

        This holds for each reason of a refusal (a drain, the mark on the VM
        list, a data centre or backend server out of service) but one: without
        a document the agent is reported as not ready, not as leaving.
        """
        return self.refusal_reason() not in {'', NO_DOCUMENT}

    def refusal_reason(self) -> str:
        """Return why new work is refused, or an empty string."""
        if self.draining:
            return DRAINING
        return self.queued_refusal_reason()

    def queued_refusal_reason(self) -> str:
        """Return why work queued at the gate is refused, or an empty string.

        A drain is no reason: the agent still starts the work it has accepted.
        """
        if self._listed_leaving:
            return 'leaving'
        version = self._configuration.version
        if version is None:
            return NO_DOCUMENT
        document = version.document
        if not document.is_data_centre_in_service(self._settings.data_centre):
            return 'data_centre_out'
        if self._settings.process_id in document.backend_servers_out:
            return 'backend_out'
        return ''

    def apply_vm_list(self, vm_list_body: VmListBody) -> bool:
        """Apply a VM list; tell whether the state of the own VM changed."""
        try:
            vm_list = parse_vm_list(vm_list_body.body, vm_list_body.list_index)
        except ConfigurationError as error:
            logger.error('agent: VM list refused: %s', error)
            return False
        # One id names a VM, its agent and its backend server: the process id
        # in the settings of the agent, which is not a PID.
        before = self._listed_leaving
        self._listed_leaving = vm_list.is_leaving(self._settings.process_id)
        return self._listed_leaving != before
