"""In-process signals to which other components subscribe.

Every signal is sent with the keyword arguments `subject`, `cause` and
`digest`, which the audit trail records.
"""

from blinker import Signal

document_changed = Signal('document in force changed')
document_refused = Signal('document refused')
data_centre_changed = Signal('data centre taken out or returned')
backend_changed = Signal('backend server taken out or returned')
role_changed = Signal('role of a backend server changed')
order_sent = Signal('order sent to an engine')
member_changed = Signal('state of a peer changed')
ramp_changed = Signal('ramp of a backend server reset')
quarantine_changed = Signal('request fingerprint quarantined or released')
