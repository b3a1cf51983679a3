"""A stand-in for the fabric: sprays callers' packets across the balancers."""

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
    DatagramPort,
    HttpError,
    HttpRequest,
    HttpResponse,
    fetch,
    serve,
)

INSTANCE_WATCH_MS = 20_000
"""How long one watch of the instance list waits, in milliseconds."""


class FabricStandin:
    """Takes datagrams on the service addresses and gives each to a random balancer."""

    def __init__(
        self, services: list[Endpoint], return_address: Endpoint, seed: int
    ) -> None:
        self.ports = {service: DatagramPort(service) for service in services}
        self.return_port = DatagramPort(return_address)
        self.balancers: list[Endpoint] = []
        self.source = random.Random(seed)

    async def receive_from_callers(self, service: Endpoint) -> None:
        """Wrap each datagram into an IP packet and spray it."""
        port = self.ports[service]
        while True:
            for datagram in await port.receive():
                caller = Endpoint(*datagram.sender[:2])
                self.spray(Flow(TransportProtocol.UDP, caller, service), datagram.data)

    def spray(self, flow: Flow, payload: bytes) -> None:
        """Send a caller's datagram to any balancer."""
        if not self.balancers:
            return
        packet = build_udp(flow, payload, to_caller=False)
        frame = GeneveFrame(packet, read_request_header(payload))
        balancer = self.source.choice(self.balancers)
        self.return_port.send(encode_frame(frame), balancer)

    async def receive_from_system(self) -> None:
        """Give answers to the callers."""
        while True:
            for datagram in await self.return_port.receive():
                self.give_to_caller(datagram.data)

    def give_to_caller(self, data: bytes) -> None:
        """Send an answer from the service address that the caller used."""
        try:
            content = parse_udp(decode_frame(data).packet)
            reverse = unpack_flow_key(content.flow)
        except (MalformedFrameError, MalformedPacketError, ValueError):
            return
        port = self.ports.get(reverse.caller)
        if port is not None:
            port.send(content.payload, reverse.service)

    async def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Say whether there is a balancer to send to."""
        is_ready = bool(self.balancers)
        return HttpResponse(200 if is_ready else 503, b"{}")

    async def follow_instances(self, service: Endpoint) -> None:
        """Keep the list of balancers as the platform gives it."""
        index = 0
        while True:
            target = f"/v1/instances?after={index}&wait_ms={INSTANCE_WATCH_MS}"
            try:
                response = await fetch(service, target, INSTANCE_WATCH_MS + 2_000)
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
    """Spray packets until cancelled."""
    standin = FabricStandin(services, return_address, seed)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve, return_address, standin.handle_http)
        nursery.start_soon(standin.receive_from_system)
        nursery.start_soon(standin.follow_instances, platform)
        for service in services:
            nursery.start_soon(standin.receive_from_callers, service)
