"""A complete balancer on loopback, with sockets in place of fabric and agents."""

import random
import socket

import trio

from citronwinch.configuration_service import format_instance
from citronwinch.coordination import (
    Endpoint,
    Flow,
    Instance,
    InstanceRole,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.requests import (
    REQUEST_ID_BYTES,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.steering import Probe
from citronwinch.daemon import BalancerProcess
from citronwinch.fabric import GeneveFrame, build_udp, encode_frame
from citronwinch.network import DatagramSocket, serve
from citronwinch.operators import Settings, configure_logging, format_table
from citronwinch.peers import Envelope, KeyRing, PeerMessage, encode_envelope
from citronwinch.standins import PlatformStandin

LOOPBACK = Endpoint("127.0.0.1", 0)
"""Any free port on loopback."""

FRAME_PAYLOAD_BYTES = 128
"""The payload of each packet, in bytes."""

PAYLOAD_PREFIX = b"path-bench-packet"
"""The prefix of each payload, which identifies forwarded packets."""

KEY = bytes(range(32))
"""The key that balancer and agents share."""

SERVICE_ENDPOINT = Endpoint("192.0.2.10", 5000)
"""The address of the service."""

FLOW_CACHE_LIMIT = 300_000
"""The limit of the balancer's cache, the default of the settings, in flows."""

BACKEND_SERVERS = 7
"""The backend servers of the service."""

READY_TIMEOUT_S = 10
"""The timeout of the balancer's start until it is ready, in seconds."""


class FrameSource:
    """Creates flows and the frames of their packets."""

    def __init__(
        self, rng: random.Random, established_flows: int, first_flow: int
    ) -> None:
        self.next_flow = first_flow
        self.payload = PAYLOAD_PREFIX + rng.randbytes(
            FRAME_PAYLOAD_BYTES - len(PAYLOAD_PREFIX)
        )
        self.established_frames = [
            self.make_frame(self.make_flow(i)) for i in range(established_flows)
        ]
        self.position = 0

    def make_flow(self, number: int | None = None) -> Flow:
        """Return the flow with a number, or the next flow that was not used yet."""
        if number is None:
            number = self.next_flow
            self.next_flow += 1
        ip = f"10.{number >> 20 & 255}.{number >> 12 & 255}.{number >> 4 & 255}"
        caller = Endpoint(ip, 20_000 + (number & 15))
        return Flow(TransportProtocol.UDP, caller, SERVICE_ENDPOINT)

    def make_frame(self, flow: Flow) -> bytes:
        """Return a frame with one packet of a flow."""
        packet = build_udp(flow, self.payload, to_caller=False)
        return encode_frame(GeneveFrame(packet, None))

    def next_frames(self, count: int) -> list[bytes]:
        """Return the next frames of the established flows, round robin."""
        start = self.position % len(self.established_frames)
        self.position += count
        repeated = self.established_frames[start:] + self.established_frames
        return repeated[:count]


def make_frame_source(
    rng: random.Random, established_flows: int, first_flow: int = 0
) -> FrameSource:
    """Return a source with the frames of some established flows."""
    return FrameSource(rng, established_flows, first_flow)


def make_request_frame_source(
    rng: random.Random, established_flows: int
) -> FrameSource:
    """Return a source of frames that each carry a different request."""
    frame_source = FrameSource(rng, 0, 0)
    for number in range(established_flows):
        packet = build_udp(
            frame_source.make_flow(number), frame_source.payload, to_caller=False
        )
        request = RequestMetadata(
            RequestKind.REQUEST, rng.randbytes(REQUEST_ID_BYTES), False, 2_000
        )
        frame_source.established_frames.append(
            encode_frame(GeneveFrame(packet, request))
        )
    return frame_source


class PathSetup:
    """The balancer, the platform stand-in and the sockets of fabric and agents."""

    def __init__(self) -> None:
        self.loopback = LOOPBACK
        self.agent_sockets = [DatagramSocket(LOOPBACK) for _ in range(BACKEND_SERVERS)]
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.platform = PlatformStandin()
        self.platform_endpoint = find_free_port()
        self.balancer = BalancerProcess(self.make_settings())
        self.sequence = 0

    def make_settings(self) -> Settings:
        """Return the balancer's settings."""
        return Settings(
            name="balancer-1",
            role=InstanceRole.BALANCER,
            availability_zone="tas-south-a",
            region="",
            peer_address=LOOPBACK,
            http_address=LOOPBACK,
            configuration_service=self.platform_endpoint,
            instance_service=self.platform_endpoint,
            fabric_address=LOOPBACK,
            fabric_return=(self.agent_sockets[0].endpoint,),
            key=KEY,
            previous_key=None,
            flow_idle_ms=300_000,
            flow_cache_limit=FLOW_CACHE_LIMIT,
            stop_timeout_ms=0,
            log_format="json",
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the balancer and wait until it has the table and the instances."""
        configure_logging("json")
        rows = [
            TableRow(
                "gauging",
                TransportProtocol.UDP,
                SERVICE_ENDPOINT,
                f"gauging-{i + 1}",
                Endpoint(f"10.20.1.{i + 1}", 5000),
                "tas-south-a",
                100,
                2_000,
            )
            for i in range(BACKEND_SERVERS)
        ]
        self.platform.publish_table(format_table(Table(1, rows).rows))
        agents = [
            Instance(
                row.backend_server,
                InstanceRole.AGENT,
                "tas-south-a",
                agent_port.endpoint,
            )
            for row, agent_port in zip(rows, self.agent_sockets, strict=True)
        ]
        self.platform.publish_instances([format_instance(agent) for agent in agents])
        nursery.start_soon(serve, self.platform_endpoint, self.platform.handle)
        nursery.start_soon(self.balancer.run)
        with trio.fail_after(READY_TIMEOUT_S):
            while not (self.balancer.table.revision and self.balancer.instances):
                await trio.sleep(0.05)

    def read_agent_sockets(self) -> int:
        """Read the agents' sockets and return the number of forwarded packets.

        Other datagrams are the balancer's liveness probes and get an answer.
        """
        count = 0
        for i, agent_port in enumerate(self.agent_sockets):
            while batch := agent_port.receive_nowait():
                packets = sum(PAYLOAD_PREFIX in datagram.data for datagram in batch)
                count += packets
                if packets < len(batch):
                    self.send_as_agent(i, Probe(is_answer=True))
        return count

    def send_as_agent(self, number: int, message: PeerMessage) -> None:
        """Send the balancer a message from the agent with an index."""
        self.sequence += 1
        name = f"gauging-{number + 1}"
        envelope = Envelope(name, 1, self.sequence, 1, message)
        keys = KeyRing(KEY, (KEY,))
        peers = self.balancer.peers.datagram_socket.endpoint
        self.sender.sendto(keys.sign(encode_envelope(envelope)), peers)


def make_setup() -> PathSetup:
    """Return a setup whose balancer has not been started."""
    return PathSetup()


def find_free_port() -> Endpoint:
    """Return an endpoint on loopback whose port is not in use."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
        probe.bind((LOOPBACK.ip, 0))
        return Endpoint(LOOPBACK.ip, int(probe.getsockname()[1]))
