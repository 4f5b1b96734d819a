"""Entry daemon whose links to other entries lead through the soak's proxies.

Entries learn each other's addresses from notices, so settings alone cannot put
a proxy between them: the socket's address is replaced when a link is dialled.
"""

import os
import runpy
import signal
import socket

from wasabistream_tools.soak.sites import CONTROL_PORT, LINK_SUBNET

# Before the modules of the daemon, whose import takes a second, are loaded.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

OWN_ADDRESS_VARIABLE = 'SOAK_OWN_ADDRESS'
MODULE = 'wasabistream.platform.entry_daemon'
_connect_ex = socket.socket.connect_ex


def proxy_address(address: str) -> str:
    """Return the address of the proxy of an entry."""
    network, host, _, number = address.split('.')
    return f'{network}.{host}.{LINK_SUBNET}.{number}'


def connect_through_proxy(sock: socket.socket, address: tuple[str, int]) -> int:
    """Connect; links to entries go to a proxy, from the own address."""
    host, port = address
    if port != CONTROL_PORT:
        return _connect_ex(sock, address)
    sock.bind((os.environ[OWN_ADDRESS_VARIABLE], 0))
    return _connect_ex(sock, (proxy_address(host), port))


if __name__ == '__main__':
    setattr(socket.socket, 'connect_ex', connect_through_proxy)
    runpy.run_module(MODULE, run_name='__main__', alter_sys=True)
