"""A stand-in for the fabric, which sprays callers' packets across the balancers."""

import random

import orjson
import trio

from citronwinch.backend_servers import read_request_header
from citronwinch.coordination import Endpoint, Flow, TransportProtocol, unpack_flow_key
from citronwinch.fabric import (
    GeneveFrame,
    MalformedFrameError,
    MalformedPacketError,
    build_udp,
    decode_frame,
    encode_frame,
    parse_udp,
)
from citronwinch.network import (
    DatagramSocket,
    HttpError,
    HttpRequest,
    HttpResponse,
    fetch,
    serve,
)

INSTANCE_WATCH_TIMEOUT_MS = 20_000
"""How long a watch of the list of instances waits for a change, in milliseconds."""


class FabricStandin:
    """Sends each datagram received on a service address to a random balancer."""

    def __init__(
        self, services: list[Endpoint], return_address: Endpoint, seed: int
    ) -> None:
        self.sockets = {service: DatagramSocket(service) for service in services}
        self.return_socket = DatagramSocket(return_address)
        self.balancers: list[Endpoint] = []
        self.rng = random.Random(seed)

    async def receive_from_callers(self, service: Endpoint) -> None:
        """Receive datagrams on a service address and spray them until cancelled."""
        service_socket = self.sockets[service]
        while True:
            for datagram in await service_socket.receive():
                caller = Endpoint(*datagram.sender[:2])
                self.spray(Flow(TransportProtocol.UDP, caller, service), datagram.data)

    def spray(self, flow: Flow, payload: bytes) -> None:
        """Send a caller's datagram as a framed IP packet to a random balancer."""
        if not self.balancers:
            return
        packet = build_udp(flow, payload, to_caller=False)
        frame = GeneveFrame(packet, read_request_header(payload))
        balancer = self.rng.choice(self.balancers)
        self.return_socket.send(encode_frame(frame), balancer)

    async def receive_answers(self) -> None:
        """Receive returned frames and deliver the answers until cancelled."""
        while True:
            for datagram in await self.return_socket.receive():
                self.deliver_to_caller(datagram.data)

    def deliver_to_caller(self, data: bytes) -> None:
        """Send an answer to its caller, from the service address that the caller used.

        Malformed frames and packets of unknown service addresses are dropped.
        """
        try:
            content = parse_udp(decode_frame(data).packet)
            # An answer goes from the service to the caller, so its flow has the address
            # of the service as `caller` and that of the caller as `service`.
            reversed_flow = unpack_flow_key(content.flow)
        except (MalformedFrameError, MalformedPacketError, ValueError):
            return
        service_socket = self.sockets.get(reversed_flow.caller)
        if service_socket is not None:
            service_socket.send(content.payload, reversed_flow.service)

    async def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Report readiness: status 200 if a balancer is known, 503 otherwise."""
        is_ready = bool(self.balancers)
        return HttpResponse(200 if is_ready else 503, b"{}")

    async def watch_instances(self, platform: Endpoint) -> None:
        """Update the list of live balancers from the platform until cancelled."""
        index = 0
        while True:
            target = f"/v1/instances?after={index}&wait_ms={INSTANCE_WATCH_TIMEOUT_MS}"
            try:
                response = await fetch(
                    platform, target, INSTANCE_WATCH_TIMEOUT_MS + 2_000
                )
            except HttpError:
                await trio.sleep(0.1)
                continue
            body = orjson.loads(response.body)
            index = body["index"]
            self.balancers = [
                Endpoint.parse(item["fabric_address"])
                for item in body["instances"]
                if item["role"] == "balancer" and item.get("state") == "live"
            ]


async def run_fabric(
    services: list[Endpoint], return_address: Endpoint, platform: Endpoint, seed: int
) -> None:
    """Run the fabric stand-in until cancelled."""
    standin = FabricStandin(services, return_address, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, return_address, standin.handle_http)
        nursery.start_soon(standin.receive_answers)
        nursery.start_soon(standin.watch_instances, platform)
        for service in services:
            nursery.start_soon(standin.receive_from_callers, service)
