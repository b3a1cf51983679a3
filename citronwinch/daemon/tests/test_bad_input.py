"""Tests that random and mutated bytes at any port do not disturb a running daemon."""

import random
import socket

import orjson
import trio
import trio.testing

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.coordination.steering import Forward, Hint
from citronwinch.daemon.tests._deployment import (
    KEY_HEX,
    DeploymentCaller,
    run_deployment,
)
from citronwinch.fabric import GeneveFrame, build_udp, encode_frame
from citronwinch.network import fetch
from citronwinch.peers import Envelope, KeyRing, PeerMessage, encode_envelope

SEED = 1
ROUNDS = 1_000
KEYS = KeyRing(bytes.fromhex(KEY_HEX), (bytes.fromhex(KEY_HEX),))

HTTP_INPUT = {
    "binary": bytes(range(256)) * 4,
    "no line end": b"GET /status",
    "huge header": b"GET / HTTP/1.1\r\nX: " + b"x" * 200_000 + b"\r\n\r\n",
    "bad target": b"GET http://[ HTTP/1.1\r\nHost: a\r\n\r\n",
    "bad version": b"GET /status HTTP/9.9\r\n\r\n",
    "HEAD": b"HEAD /status HTTP/1.1\r\nHost: a\r\n\r\n",
    "POST": b"POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
    "bad flow": (
        b"GET /flow?protocol=udp&caller=%00&service=x HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "mixed flow": (
        b"GET /flow?protocol=udp&caller=1.2.3.4:5&service=[::1]:5 HTTP/1.1\r\n"
        b"Host: a\r\n\r\n"
    ),
    "bad query": b"GET /status?\xff=%zz&&== HTTP/1.1\r\nHost: a\r\n\r\n",
}


def mutate(rng, data):
    """Return random bytes, or data with a few bytes changed and possibly cut short."""
    if rng.random() < 0.2:
        return rng.randbytes(rng.randrange(200))
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 5)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed[: rng.randrange(1, len(changed) + 1)])


def make_samples(deployment):
    """Return well-formed frames for fabric ports and envelopes for peer ports."""
    service = deployment.service_addresses["gauging"]
    flow = Flow(TransportProtocol.UDP, Endpoint("127.0.0.1", 9), service)
    packet = build_udp(flow, b"CWR1" + bytes(40), to_caller=False)
    request = RequestMetadata(RequestKind.REQUEST, bytes(16), False, 100)
    frames = [
        encode_frame(GeneveFrame(packet, metadata)) for metadata in (None, request)
    ]
    messages: list[PeerMessage] = [
        Forward(flow.key, "gauging", packet, "balancer-1", opens=True),
        Forward(flow.key, "gauging", packet, "balancer-1", request=request),
        Hint(flow.key, "gauging-1"),
    ]
    envelopes = [
        encode_envelope(Envelope("balancer-1", 1, i, 1, message))
        for i, message in enumerate(messages)
    ]
    return frames, envelopes


async def send_mutated_datagrams(deployment, rng):
    """Send mutated datagrams to every UDP port of the deployment."""
    frames, envelopes = make_samples(deployment)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for i in range(ROUNDS):
        for name, (peers, _, fabric) in deployment.addresses.items():
            signed = KEYS.sign(mutate(rng, rng.choice(envelopes)))
            for data in (signed, mutate(rng, signed)):
                sender.sendto(data, peers)
            if name.startswith("balancer"):
                sender.sendto(mutate(rng, rng.choice(frames)), fabric)
        for address in (
            deployment.return_address,
            *deployment.service_addresses.values(),
        ):
            sender.sendto(mutate(rng, rng.choice(frames)), address)
        # All daemons share this event loop. Datagrams that they have not read yet delay
        # requests and fill the kernel's receive buffers, which then drop requests.
        if i % 5 == 0:
            await trio.sleep(0.01)
            await trio.testing.wait_all_tasks_blocked()


async def send_http(endpoint, data):
    """Send bytes to an HTTP port and read the response."""
    stream = await trio.open_tcp_stream(endpoint.ip, endpoint.port)
    async with stream:
        try:
            await stream.send_all(data)
            await stream.send_eof()
            with trio.move_on_after(1):
                while await stream.receive_some(65_536):
                    pass
        except trio.BrokenResourceError:
            return


def test_established_flows_continue_during_malformed_datagrams():
    async def check():
        async with run_deployment() as deployment:
            callers = [DeploymentCaller(deployment, "gauging") for _ in range(5)]
            before = [await caller.send_request("before") for caller in callers]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    send_mutated_datagrams, deployment, random.Random(SEED)
                )
                for _ in range(10):
                    during = [await caller.send_request("during") for caller in callers]
                    await trio.sleep(0.02)
            after = [await caller.send_request("before") for caller in callers]
            assert after == before
            assert during == [text.replace("before", "during") for text in before]
            assert deployment.count("packets_dropped_total") > ROUNDS
            assert deployment.count("peer_rejected_total") > ROUNDS
            assert deployment.count("internal_errors_total") == 0
            assert deployment.is_ready()

    trio.run(check)


def test_daemons_stay_ready_after_malformed_http_requests():
    async def check():
        async with run_deployment() as deployment:
            endpoints = [addresses[1] for addresses in deployment.addresses.values()]
            for endpoint in [*endpoints, deployment.platform_address]:
                for data in HTTP_INPUT.values():
                    await send_http(endpoint, data)
            for endpoint in endpoints:
                status = orjson.loads((await fetch(endpoint, "/readyz", 2_000)).body)
                assert status["ready"]
            answer = await fetch(
                deployment.platform_address, "/v1/instances?after=x", 2_000
            )
            assert answer.status == 400
            assert deployment.count("http_errors_total") > 0
            assert await DeploymentCaller(deployment, "reporting").send_request(
                "x"
            ) == ("reporting-1 reporting x")

    trio.run(check)
