"""Tests that flow messages are decoded unchanged and malformed ones are rejected."""

import random
import zlib
from collections.abc import Callable

import pytest

from citronwinch.coordination import Endpoint, FlowKey
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    DepartedServer,
    FlowAnswer,
    FlowAnswers,
    FlowLocation,
    FlowLocations,
    FlowLookup,
    FlowQuestion,
    FlowQuestions,
    FormerRoute,
    ForwardedOpening,
    ForwardedPacket,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    Message,
    ReturnedPacket,
    Route,
    RouteClass,
    ServerListing,
    ServerState,
    ServiceLimits,
    ServiceShare,
    StorePosition,
    Verdict,
    ViewAnswer,
    ZoneEvacuation,
    pack_route_address,
)
from citronwinch.flow_peers import (
    ViewEncoder,
    compress_view,
    decode_compressed_view,
    decode_flow_message,
    decode_view,
    encode_flow_message,
)
from citronwinch.flow_peers._codec import KIND_CONTROL
from citronwinch.flow_peers._schema import SCHEMA
from citronwinch.network import MalformedMessageError

MESSAGES: list[Message] = [
    Heartbeat(
        1 << 60,
        "a",
        True,
        StorePosition(3, 9),
        (1 << 64) - 1,
        700,
        12,
        ("10.0.0.1",),
        5,
        900,
        StorePosition(2, 8),
        1_200,
        (
            ZoneEvacuation("a", True, StorePosition(2, 8)),
            ZoneEvacuation("b", False, StorePosition(0, 1 << 60)),
        ),
        2,
        1_500,
        12.5,
        60_000,
        700,
        asks_for_balancers=True,
    ),
    KnownBalancers(("10.0.0.1", "10.0.0.2")),
    LoadReport("gauging", 40, 3, 17, 0.625, False, 0.35, 1_771_472_094_292, 69, 2, 0),
    LoadReport("gauging", 40, 3, 17, 0.625, True),
    ForwardedOpening("gauging", RouteClass(1, 400, 13_614), True, bytes(36)),
    ForwardedOpening("gauging", RouteClass(1, 400, 13_614), True, bytes(36), 608),
    FlowQuestion(FlowKey(bytes(13)), (1 << 32) - 1),
    FlowQuestions(
        7,
        (
            FlowQuestion(FlowKey(bytes(13)), (1 << 32) - 1),
            FlowQuestion(FlowKey(bytes(range(37))), 0),
        ),
    ),
    FlowAnswers(7, (Verdict.HELD, Verdict.ABSENT)),
    FlowAnswer(FlowKey(bytes(range(13))), Verdict.UNCERTAIN),
    FlowAnswer(FlowKey(bytes(range(13))), Verdict.OPENING, 0),
    FlowAnswer(FlowKey(bytes(range(13))), Verdict.OPENING, 0xFFFFFFFF),
    FlowLocations(
        (
            FlowLocation(FlowKey(bytes(13)), "10.0.0.1", "gauging"),
            FlowLocation(FlowKey(bytes(range(13))), "", ""),
        )
    ),
    FlowLookup(FlowKey(bytes(range(13)))),
    ForwardedPacket("gauging", bytes(36)),
    ReturnedPacket(bytes(36)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_a_decoded_message_equals_the_encoded_one(message: Message) -> None:
    assert decode_flow_message(encode_flow_message(message)) == message


@pytest.mark.parametrize(
    ("age_ms", "decoded_ms"), [(-5, 0), (15, 0), (16, 16), (99, 96), (60_000, 2_032)]
)
@pytest.mark.parametrize("is_last_choice", [True, False])
def test_age_of_an_opening_is_rounded_down_and_limited(
    age_ms: int, decoded_ms: int, is_last_choice: bool
) -> None:
    opening = ForwardedOpening(
        "gauging", RouteClass(1, 400, 1_000), is_last_choice, bytes(36), age_ms
    )
    decoded = decode_flow_message(encode_flow_message(opening))
    assert decoded == opening._replace(age_ms=decoded_ms)


def test_a_full_batch_of_questions_fits_into_a_packet() -> None:
    rng = random.Random(1)
    questions = tuple(
        FlowQuestion(FlowKey(b"\x06" + rng.randbytes(12)), rng.randrange(1 << 32))
        for _ in range(32)
    )
    assert len(encode_flow_message(FlowQuestions(1 << 31, questions))) < 1_200


def test_questions_without_an_acknowledgement_are_malformed() -> None:
    builder = SCHEMA.FlowMessage.new_message()
    body = builder.init("questions")
    body.flows = [bytes(13), bytes(13)]
    body.acknowledged = [1]
    data = bytes((KIND_CONTROL,)) + builder.to_bytes_packed()
    with pytest.raises(MalformedMessageError, match="one acknowledgement for each of"):
        decode_flow_message(data)


@pytest.mark.parametrize("with_configuration", [True, False])
def test_a_decoded_view_equals_the_encoded_one(with_configuration: bool) -> None:
    address = Endpoint("198.18.0.1", 443)
    route = Route("r", address, (ServiceShare("gauging", 1),), 1, 120, 1_000, True)
    routes = {pack_route_address(address): route}
    server = BackendServer(
        "i-1",
        "gauging",
        Endpoint("10.0.0.9", 80),
        "a",
        ServerState.LEAVING,
        slots=1,
        started_ms=5,
        warmup_left_ms=1_500,
    )
    services = {"gauging": ServiceLimits(2.5)}
    others = frozenset({"billing", "reporting"})
    configuration = Configuration(3, routes, 15_000, services, others)
    view = ViewAnswer(
        ServerListing(StorePosition(4, 9), {"i-1": server}),
        450,
        configuration if with_configuration else None,
        (server._replace(name="i-2"),),
        3,
        StorePosition(3, 77),
        (1 << 64) - 1,
        ("i-7", "i-8"),
        (DepartedServer(server._replace(name="i-9"), 4_000, 2_500),),
        60_000,
        (FormerRoute(bytes(range(6)), "reporting", 4_000),),
        30_000,
    )
    encoder = ViewEncoder()
    assert decode_view(encoder.encode(view)) == view
    assert decode_view(encoder.encode(view)) == view
    assert decode_compressed_view(compress_view(encoder.encode(view))) == view


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda data: data[:-3], id="cut"),
        pytest.param(lambda data: b"?" + data[1:], id="not compressed"),
        pytest.param(lambda _: zlib.compress(bytes(5 << 20)), id="too large"),
        pytest.param(lambda _: zlib.compress(b"1234567"), id="no configuration"),
    ],
)
def test_a_damaged_configuration_is_rejected(damage: Callable[[bytes], bytes]) -> None:
    encoder = ViewEncoder()
    configuration = Configuration(3, {}, 15_000)
    view = ViewAnswer(ServerListing(StorePosition(1, 9), {}), 0, configuration)
    encoder.encode(view)
    encoder.encoded_configuration = damage(encoder.encoded_configuration)
    with pytest.raises(MalformedMessageError):
        decode_view(encoder.encode(view))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"?not compressed", id="not compressed"),
        pytest.param(zlib.compress(bytes(5 << 20)), id="too large"),
        pytest.param(zlib.compress(b"1234567"), id="no view"),
        pytest.param(zlib.compress(bytes(64))[:-3], id="cut"),
    ],
)
def test_a_damaged_compressed_view_is_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_compressed_view(data)


def test_mutated_messages_raise_only_malformed_message_errors() -> None:
    rng = random.Random(20)
    for _ in range(3_000):
        data = bytearray(encode_flow_message(rng.choice(MESSAGES)))
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        data = data[: rng.randint(0, len(data))]
        try:
            decode_flow_message(bytes(data))
        except MalformedMessageError:
            continue
