"""A benchmark of packets that the process refuses or drops.

Such packets cost less than those that are sent on. It comes about when the mix, or the
deployment that a balancer is given, no longer fits the decisions.
"""

import pytest

from citronwinch.benches._case_packet_cost import handle_group, make_process
from citronwinch.benches._launched_process import choose_addresses
from citronwinch.benches._memory_socket import MemorySocket
from citronwinch.benches._packet_mix import LIST_STEPS_BY_ROLE


@pytest.mark.parametrize("role", sorted(LIST_STEPS_BY_ROLE))
def test_every_packet_of_the_mix_is_sent_on(role: str) -> None:
    addresses = choose_addresses(1)
    process = make_process(role, addresses)
    sockets = process.packet_socket.socket, process.peer_socket.socket
    for number in range(32):
        for step in LIST_STEPS_BY_ROLE[role](number, addresses.caller):
            counts = [s.sent for s in sockets if isinstance(s, MemorySocket)]
            handle_group(process, addresses, (step,))
            after = [s.sent for s in sockets if isinstance(s, MemorySocket)]
            assert sum(after) > sum(counts) or not step.is_packet
    assert not [key for key in process.metrics.counters if "error" in key[0]]
