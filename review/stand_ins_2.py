"""Stand-ins for the platform, its backend servers and its callers, and the processes of a
small deployment, for the scripts of the second review.

Everything listens on loopback addresses, one for each instance, with ports that are free at
the start. The processes are started with the commands of `deploy/system.toml` and settings
from the templates that it names. The stand-ins follow the users' pages: the store of
PROTOCOL.md, routers that hash by `mod` and check `/readyz` twice a second, callers that send
copies of an opening after 200 and 600 ms and retransmit after 200 ms, doubled up to 1.6 s, and
servers that bounce packets of flows that they do not hold. Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
SYN, ACK, FIN, RST, BOUNCED = 8, 16, 64, 4, 1
HEADER = struct.Struct("<IIIHHIHIIB5s")
GRACE_S = 6
"""`grace_s`: how long after SIGTERM a process is killed, in seconds."""

RESTART_S = 0.5
"""How long after its end a process is started again, in seconds."""

DRAIN_S = 3.0
"""`drain_ms`: how long a backend serves after it is known to be draining, in seconds."""

IDLE_TIMEOUT_MS = 60_000
HISTORY_S = 20


def pack_ip(ip: str) -> int:
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def unpack_ip(number: int) -> str:
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """A decoded packet; `key` is (caller ip, caller port, route ip, route port)."""

    def __init__(self, data: bytes, *, from_caller: bool) -> None:
        self.data = data
        (self.echo, self.seq, self.ack, self.size, self.sport, dst, self.dport, src) = (
            HEADER.unpack_from(data)[:8]
        )
        self.sum, self.flags = HEADER.unpack_from(data)[8:10]
        self.payload = data[HEADER.size :]
        here, there = (unpack_ip(src), self.sport), (unpack_ip(dst), self.dport)
        self.key = here + there if from_caller else there + here


def encode(
    src: tuple[str, int],
    dst: tuple[str, int],
    flags: int,
    seq: int,
    ack: int,
    payload: bytes = b"",
) -> bytes:
    def pack(total: int) -> bytes:
        return HEADER.pack(
            0,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            len(payload),
            src[1],
            pack_ip(dst[0]),
            dst[1],
            pack_ip(src[0]),
            total,
            flags,
            b"",
        )

    # Stands for the keyed sum of the two ends; never 0, which marks a reset of the system.
    total = zlib.crc32(b"the ends' key" + pack(0) + payload) or 1
    return pack(total) + payload


def is_genuine(data: bytes) -> bool:
    """Return whether the sum is that of a packet's other fields."""
    _, seq, ack, size, sport, dst, dport, src, total, flags, _ = HEADER.unpack_from(data)
    payload = data[HEADER.size :]
    expected = encode(
        (unpack_ip(src), sport), (unpack_ip(dst), dport), flags & ~BOUNCED, seq, ack, payload
    )
    return size == len(payload) and HEADER.unpack_from(expected)[8] == total


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, file: Path) -> None:
        self.file = file.open("w")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def write(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Store:
    """The platform's store; `refuses` names machines' addresses that get 503."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[int, int, bytes]] = {}
        self.history: list[tuple[float, int, str, bytes | None]] = []
        self.changed = asyncio.Event()
        self.is_down = False

    def write(self, key: str, value: object) -> None:
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self.items.get(key, (0, self.revision, b""))[1]
        self.items[key] = (self.revision, created, data)
        self._note(key, data)

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(key, None)

    def _note(self, key: str, data: bytes | None) -> None:
        self.history.append((time.monotonic(), self.revision, key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _item(key: str, revision: int, created: int, data: bytes) -> dict[str, object]:
        value = base64.b64encode(data).decode()
        return {
            "key": key,
            "value": value,
            "revision": revision,
            "created": created,
            "lease_id": 0,
        }

    async def answer(self, target: str) -> tuple[int, object]:
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        if self.is_down:
            return 503, {"error": "unavailable"}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at": self.revision}
            return 200, {**self._item(query["key"], *item), "at": self.revision}
        if parts.path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = [self._item(key, *self.items[key]) for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500, "at": self.revision}
        if parts.path == "/kv-watch":
            return await self._watch(query)
        return 404, {"error": "no such call"}

    async def _watch(self, query: dict[str, str]) -> tuple[int, object]:
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        oldest = time.monotonic() - HISTORY_S
        dropped = [revision for at, revision, _, _ in self.history if at < oldest]
        if after > self.revision or (dropped and after < dropped[-1]):
            return 410, {"error": "history is gone"}
        while True:
            changed = self.changed
            latest: dict[str, dict[str, object]] = {}
            for _, revision, key, data in self.history:
                if revision > after and key.startswith(query["prefix"]):
                    latest[key] = (
                        {"key": key, "revision": revision, "deleted": True}
                        if data is None
                        else self._item(key, revision, revision, data)
                    )
            left = until - time.monotonic()
            if latest or left <= 0:
                return 200, {"events": list(latest.values()), "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    async def serve(self, ip: str, port: int) -> None:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self.answer(head.split(b" ", 2)[1].decode())
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self.server = await asyncio.start_server(handle, ip, port)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handle: object) -> None:
        self.handle = handle

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        self.handle(data)


async def open_udp(ip: str, port: int, handle: object) -> asyncio.DatagramTransport:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(handle), local_addr=(ip, port)
    )
    return transport


class BackendServer:
    """Holds flows, answers each request once, and bounces what it does not hold."""

    def __init__(self, world: "World", name: str, service: str, zone: str, ip: str) -> None:
        self.world, self.name, self.service = world, name, service
        self.zone, self.ip = zone, ip
        self.flows: dict[tuple, dict] = {}
        self.state = "ready"
        self.sequence = 0
        self.born = 0

    async def start(self, born_ahead_ms: int = 0) -> None:
        self.born = int(time.time() * 1000) + born_ahead_ms
        port = self.world.ports["app"]
        self.transport = await open_udp(self.ip, port, self.handle)

        async def health(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await reader.readuntil(b"\r\n\r\n")
                status = 200 if self.state == "ready" else 503
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n"
                    f"Connection: close\r\n\r\n".encode()
                )
                await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        self.tcp = await asyncio.start_server(health, self.ip, port)
        self.register()

    def end(self) -> None:
        """Exit: the flows end, and the entry is removed."""
        self.flows.clear()
        self.transport.close()
        self.tcp.close()
        self.world.store.delete(f"servers/{self.name}")

    def register(self) -> None:
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.world.ports['app']}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 1,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        self.world.store.write(f"servers/{self.name}", entry)

    def _send(self, data: bytes) -> None:
        self.transport.sendto(data, (self.ip, self.world.ports["outbound"]))

    def handle(self, data: bytes) -> None:
        packet = Packet(data, from_caller=True)
        caller, route = packet.key[:2], packet.key[2:]
        if not is_genuine(data):
            self.world.foreign_packets.append((self.name, data))
        flow = self.flows.get(packet.key)
        self.world.arrivals.setdefault(packet.key, []).append(
            (self.world.record.now(), self.name, flow is not None or bool(packet.flags & SYN))
        )
        if packet.flags & SYN:
            if flow is None:
                first = random.getrandbits(32)
                flow = self.flows[packet.key] = {
                    "first": first,
                    "open": False,
                    "next": (packet.seq + 1) & 0xFFFFFFFF,
                    "sent": (first + 1) & 0xFFFFFFFF,
                    "answers": {},
                }
            self._send(encode(route, caller, SYN | ACK, flow["first"], packet.seq + 1))
            return
        if flow is None:
            fields = list(HEADER.unpack_from(data))
            fields[9] |= BOUNCED
            fields[10] = b""
            self._send(HEADER.pack(*fields) + data[HEADER.size :])
            return
        if packet.flags & RST:
            del self.flows[packet.key]
            return
        if not flow["open"]:
            if packet.ack != (flow["first"] + 1) & 0xFFFFFFFF:
                return
            flow["open"] = True
            self.world.open_flows[packet.key] = self
            self.world.record.write(f"{self.name} ({self.service}) has flow {packet.key}")
        if not packet.payload:
            return
        answer = flow["answers"].get(packet.seq)
        if answer is None:
            if packet.seq != flow["next"]:
                return
            request = packet.payload.decode()
            self.world.runs.append((self.name, request))
            self.world.record.write(f"{self.name} runs {request}")
            flow["next"] = (packet.seq + len(packet.payload)) & 0xFFFFFFFF
            body = f"{self.name} answers {request}".encode()
            answer = flow["answers"][packet.seq] = (flow["sent"], body)
            flow["sent"] = (flow["sent"] + len(body)) & 0xFFFFFFFF
        self._send(encode(route, caller, ACK, answer[0], flow["next"], answer[1]))


class Router:
    """Keeps balancers in rotation that answer `/readyz`; chooses one by a hash."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.misses: dict[str, int] = {}

    async def run(self) -> None:
        while True:
            await asyncio.gather(*map(self._check, self.world.balancer_ips))
            await asyncio.sleep(0.5)

    async def _check(self, ip: str) -> None:
        ok = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(ip, self.world.ports["ready"])
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                ok = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        self.misses[ip] = 0 if ok else self.misses.get(ip, 2) + 1

    @property
    def rotation(self) -> list[str]:
        return [ip for ip in self.world.balancer_ips if self.misses.get(ip, 2) < 2]

    def choose(self, key: tuple) -> str:
        candidates = self.rotation or self.world.balancer_ips
        return candidates[zlib.crc32(repr(key).encode()) % len(candidates)]


class CallerFlow:
    """A caller's end of one flow."""

    def __init__(self, world: "World", port: int, route: tuple[str, int]) -> None:
        self.world, self.key = world, (world.caller_ip, port, *route)
        self.caller, self.route = self.key[:2], self.key[2:]
        self.inbox: asyncio.Queue[Packet] = asyncio.Queue()
        self.next = random.getrandbits(31)
        self.ack = 0
        self.is_open = False
        self.resets: list[float] = []
        world.caller_flows[self.key] = self

    def _send(self, flags: int, seq: int, ack: int, payload: bytes = b"") -> None:
        balancer = self.world.router.choose(self.key)
        data = encode(self.caller, self.route, flags, seq, ack, payload)
        self.world.caller_transport.sendto(data, (balancer, self.world.ports["datagram"]))

    def receive(self, packet: Packet) -> None:
        if packet.flags & RST:
            distance = (packet.seq - self.ack + 2**31) % 2**32 - 2**31
            if not self.is_open or abs(distance) <= 76_800:
                self.resets.append(self.world.record.now())
                self.world.record.write(
                    f"flow {self.key} is reset{'' if packet.sum else ' by the system'}"
                )
        elif not is_genuine(packet.data):
            self.world.foreign_packets.append(("caller", packet.data))
        self.inbox.put_nowait(packet)

    async def open(self) -> bool:
        for count, gap in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, self.next, count)
            until = time.monotonic() + gap
            while (left := until - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(self.inbox.get(), left)
                except TimeoutError:
                    break
                if packet.flags & RST:
                    return False
                if packet.flags & SYN:
                    self.next = (self.next + 1) & 0xFFFFFFFF
                    self.ack = (packet.seq + 1) & 0xFFFFFFFF
                    self._send(ACK, self.next, self.ack)
                    self.is_open = True
                    return True
        return False

    async def request(self, text: str, deadline_s: float) -> str:
        """Send a request; return `answered`, `reset` or `deadline`."""
        payload, started = text.encode(), time.monotonic()
        expected = (self.next + len(payload)) & 0xFFFFFFFF
        interval = 0.2
        self.world.record.write(f"caller sends {text} on flow {self.key}")
        while (left := started + deadline_s - time.monotonic()) > 0:
            self._send(ACK, self.next, self.ack, payload)
            until = time.monotonic() + min(interval, left)
            interval = min(2 * interval, 1.6)
            while (left := until - time.monotonic()) > 0:
                try:
                    packet = await asyncio.wait_for(self.inbox.get(), left)
                except TimeoutError:
                    break
                if packet.flags & RST:
                    if self.resets:
                        self.world.record.write(f"{text}: reset")
                        return "reset"
                elif packet.ack == expected and packet.payload:
                    self.next = expected
                    self.ack = (packet.seq + len(packet.payload)) & 0xFFFFFFFF
                    self._send(ACK, self.next, self.ack)
                    self.world.record.write(f"{text}: {packet.payload.decode()}")
                    return "answered"
        self.world.record.write(f"{text}: no answer in {deadline_s} s")
        return "deadline"


class Program:
    """One balancer or agent process, started again after it has ended."""

    def __init__(self, world: "World", name: str, role: str, fields: dict) -> None:
        self.world, self.name, self.role, self.fields = world, name, role, fields
        self.process: subprocess.Popen[bytes] | None = None
        self.has_started = False

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][self.role]
        fields = {**self.fields, "bootstrap": not self.has_started}
        self.has_started = True

        def fill(match: re.Match[str]) -> str:
            value: object = fields
            for part in match[1].split("."):
                value = value[part]
            if isinstance(value, bool):
                return str(value).lower()
            return ",".join(map(str, value)) if isinstance(value, list) else str(value)

        text = re.sub(r"\{\{([\w.]+)\}\}", fill, (ROOT / deploy["template"]).read_text())
        file = self.world.directory / f"{self.name}.ini"
        file.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CITRONWINCH_NODE_FILE"] = str(file)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.world.directory / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                deploy["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record.write(f"{self.name} starts")

    async def restart(self, number: signal.Signals) -> None:
        """Stop the process by a signal, wait for its end, and start it again."""
        assert self.process is not None
        self.world.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)
        until = time.monotonic() + GRACE_S
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > until:
                self.process.kill()
        await asyncio.sleep(RESTART_S)
        self.start()


class World:
    """A deployment on loopback addresses with its surroundings."""

    def __init__(
        self,
        folder: Path,
        balancers: int,
        servers: dict[str, int],
        has_stale_seeds: bool = False,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.directory = Path(tempfile.mkdtemp(prefix="citronwinch-review-"))
        self.network = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.ports = self._find_ports()
        self.store = Store()
        self.router = Router(self)
        self.caller_ip = f"{self.network}.2"
        self.caller_flows: dict[tuple, CallerFlow] = {}
        self.arrivals: dict[tuple, list[tuple[float, str, bool]]] = {}
        self.open_flows: dict[tuple, BackendServer] = {}
        self.runs: list[tuple[str, str]] = []
        self.foreign_packets: list[tuple[str, bytes]] = []
        self.next_port = 40_000
        self.has_stale_seeds = has_stale_seeds
        self.version = 0
        self.balancer_ips = [f"{self.network}.{10 + n}" for n in range(balancers)]
        self.servers: list[BackendServer] = []
        self.programs: dict[str, Program] = {}
        self.removed: list[Program] = []
        for n, ip in enumerate(self.balancer_ips):
            self._add_program(f"edge-{n + 1}", "balancer", ip)
        for service, count in servers.items():
            for _ in range(count):
                ip = f"{self.network}.{100 + len(self.servers)}"
                name = f"i-{service}-{len(self.servers) + 1}"
                self.servers.append(BackendServer(self, name, service, "zone-a", ip))
                self._add_program(f"side-{len(self.servers)}", "agent", ip, service)

    def add_server(self, service: str) -> BackendServer:
        """Add a backend server, which the case starts, and start the agent beside it."""
        number = len(self.servers) + 1
        ip = f"{self.network}.{99 + number}"
        server = BackendServer(self, f"i-{service}-{number}", service, "zone-a", ip)
        self.servers.append(server)
        self._add_program(f"side-{number}", "agent", ip, service)
        program = self.programs[f"side-{number}"]
        program.has_started = True
        program.start()
        return server

    async def remove_server(self, server: BackendServer) -> None:
        """Drain a backend server, let it leave, then stop its agent."""
        server.state = "draining"
        server.register()
        self.record.write(f"{server.name} drains")
        await asyncio.sleep(DRAIN_S + 1.0)
        server.end()
        self.record.write(f"{server.name} has left")
        for name, program in list(self.programs.items()):
            if program.fields["ip"] == server.ip and program.process is not None:
                del self.programs[name]
                self.removed.append(program)
                program.process.send_signal(signal.SIGTERM)

    def _find_ports(self) -> dict[str, int]:
        names = ("store", "ready", "datagram", "control", "app", "outbound", "peer")
        ports: dict[str, int] = {}
        sockets = []
        for name in names:
            probe = socket.socket()
            probe.bind((f"{self.network}.1", 0))
            sockets.append(probe)
            ports[name] = probe.getsockname()[1]
        for probe in sockets:
            probe.close()
        return ports

    def _add_program(self, name: str, role: str, ip: str, service: str = "") -> None:
        ports = self.ports
        # Nothing listens at the stale addresses.
        machines = [f"{self.network}.{200 + n}" for n in range(3)]
        if not self.has_stale_seeds:
            machines = self.balancer_ips[:3]
        seeds = [f"{seed}:{ports['control']}" for seed in machines]
        fields = {
            "node_name": name,
            "zone": "zone-a",
            "ip": ip,
            "port_range": [ports["peer"], ports["peer"] + 15],
            "seed_nodes": seeds,
            "listen_addrs": {
                "datagram_addr": f"{ip}:{ports['datagram']}",
                "ready": f"{ip}:{ports['ready']}",
                "outbound": f"{ip}:{ports['outbound']}",
            },
            "platform": {"address": f"{self.network}.1:{ports['store']}"},
            "limits": {"bandwidth_mbps": 1000.0},
            "bounds": {"grace_s": GRACE_S},
            "service": service,
            "app": f"{ip}:{ports['app']}",
        }
        self.programs[name] = Program(self, name, role, fields)

    def list_programs(self, role: str) -> list[Program]:
        return [program for program in self.programs.values() if program.role == role]

    def write_configuration(self, routes: dict[tuple[str, int], dict[str, int]]) -> None:
        """Write a version; `routes` gives the weights of services by address."""
        self.version += 2
        names = sorted({name for shares in routes.values() for name in shares})
        names = sorted({*names, *(server.service for server in self.servers)})
        items = []
        for number, ((ip, port), shares) in enumerate(routes.items()):
            item = {
                "name": f"r-{number}",
                "host": ip,
                "prefix": f"/{port}/",
                "type": "idempotent",
                "timeout_ms": 5_000,
                "target_latency_ms": 500,
                "priority": 1,
                "max_attempts": 2,
            }
            if len(shares) == 1:
                item["service"] = next(iter(shares))
            else:
                item["traffic_split"] = [
                    {"service": name, "weight": weight} for name, weight in shares.items()
                ]
            items.append(item)
        body = {
            "version": self.version,
            "routes": items,
            "services": [{"name": name, "health_path": "/healthz"} for name in names],
            "limits": {"idle_timeout_ms": IDLE_TIMEOUT_MS},
        }
        self.store.write("op/config", body)
        self.record.write(f"configuration {self.version}: {routes}")

    def _handle_caller_packet(self, data: bytes) -> None:
        packet = Packet(data, from_caller=False)
        flow = self.caller_flows.get(packet.key)
        if flow is not None:
            flow.receive(packet)

    async def start(self, routes: dict[tuple[str, int], dict[str, int]]) -> None:
        self.write_configuration(routes)
        await self.store.serve(f"{self.network}.1", self.ports["store"])
        self.caller_transport = await open_udp(
            self.caller_ip, self.ports["datagram"], self._handle_caller_packet
        )
        for server in self.servers:
            await server.start()
        for program in self.programs.values():
            program.start()
        self.router_task = asyncio.create_task(self.router.run())
        until = time.monotonic() + 25
        while len(self.router.rotation) < len(self.balancer_ips):
            if time.monotonic() > until:
                raise CannotRun("balancers did not become ready in 25 s")
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)

    def make_flow(self, route: tuple[str, int]) -> CallerFlow:
        self.next_port += 1
        return CallerFlow(self, self.next_port, route)

    def close(self) -> None:
        programs = [*self.programs.values(), *self.removed]
        for program in programs:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
        for program in programs:
            if program.process is not None:
                program.process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


class CannotRun(Exception):
    """The case could not be set up."""


def find_misdirected(world: World, since_s: float, reorder_s: float = 2.0) -> list[str]:
    """Return open flows of which, for `reorder_s`, three or more packets reached other
    servers and none their own, after a time."""
    found = []
    for key, holder in world.open_flows.items():
        wrong: list[float] = []
        for at, name, _ in world.arrivals[key]:
            if at < since_s:
                continue
            if name == holder.name:
                wrong = []
                continue
            wrong.append(at)
        if len(wrong) >= 3 and world.record.now() - wrong[0] >= reorder_s:
            others = sorted({n for at, n, _ in world.arrivals[key] if at >= wrong[0]})
            found.append(
                f"flow {key} at {holder.name}: from {wrong[0]:.3f} s on {len(wrong)} packets "
                f"reached {', '.join(others)} and none its own server"
            )
    return found


def run(
    case: object,
    folder: Path,
    balancers: int,
    servers: dict[str, int],
    routes: dict[tuple[str, int], dict[str, int]],
    *,
    stale_seeds: bool = False,
) -> None:
    """Run a case; exit with 1 if it returns broken rules, 0 if none, 2 if it cannot run."""

    async def play() -> int:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        world = World(folder, balancers, servers, stale_seeds and trouble)
        playing = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            async with asyncio.timeout(110):
                await world.start(routes)
                broken = await case(world, trouble)
        except (CannotRun, OSError, TimeoutError, asyncio.CancelledError) as error:
            world.record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            world.close()
        ended: list[str] = []
        for line in [*broken, *(f"{name} has ended by itself" for name in ended)]:
            world.record.write(f"BROKEN {line}")
            print(line)
        world.record.write(f"{len(broken)} times broken")
        return 1 if broken else 0

    sys.exit(asyncio.run(play()))
