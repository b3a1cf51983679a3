"""A small deployment on loopback: stand-ins and the processes of the deploy file.

Only the standard library is used. The stand-ins follow the users' pages: a store that
can be read, backend servers, consumers and the routers of the platform. Balancers and
agents are started with the command of `deploy/system.toml`, from settings that the
templates named there are filled in with.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
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
HEAD = struct.Struct("<IIIHHIHIIB5s")
SUM_KEY = os.urandom(16)

BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "reorder_ms": 2000,
    "flow_ttl_s": 60,
}
"""The bounds of the page's first deployment."""

HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5
LEAD_S = 12.0
"""How long after the machines traffic starts."""
RESET_WINDOW = 76_800
MAX_RETRANSMISSION_S = 1.6


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, *words):
        self.file.write(f"{self.now():9.3f} " + " ".join(map(str, words)) + "\n")
        self.file.flush()


# Packets


def ip_number(ip):
    return int.from_bytes(socket.inet_aton(ip), "big")


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, "big"))


def compute_sum(seq, ack, sport, dst, dport, src, flags, data):
    fields = struct.pack("<IIHIHIB", seq, ack, sport, dst, dport, src, flags & ~BOUNCED)
    return zlib.crc32(SUM_KEY + fields + data) | 1


class Packet:
    """A decoded packet."""

    def __init__(self, raw):
        (
            self.echo,
            self.seq,
            self.ack,
            self.len,
            self.sport,
            dst,
            self.dport,
            src,
            self.sum,
            self.flags,
            self.pad,
        ) = HEAD.unpack_from(raw)
        self.raw = raw
        self.data = raw[HEAD.size :]
        self.src, self.dst = ip_text(src), ip_text(dst)
        self.is_genuine = self.sum == compute_sum(
            self.seq, self.ack, self.sport, dst, self.dport, src, self.flags, self.data
        )
        self.is_own_reset = self.flags == RST and self.sum == 0 and not self.data


def encode(source, target, flags, seq, ack, data=b""):
    src, dst = ip_number(source[0]), ip_number(target[0])
    total = compute_sum(seq, ack, source[1], dst, target[1], src, flags, data)
    head = HEAD.pack(
        0, seq, ack, len(data), source[1], dst, target[1], src, total, flags, b""
    )
    return head + data


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(address, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address
    )
    return transport


# HTTP


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    method, target, _ = head.split(b"\r\n", 1)[0].decode().split(" ", 2)
    parts = urlsplit(target)
    query = {k: v[-1] for k, v in parse_qs(parts.query).items()}
    return method, parts.path, query


def http_answer(status, body):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 503: "Busy"}.get(status, "No")
    return (
        f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body


async def serve_http(address, handler):
    async def serve(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            method, path, query = await read_head(reader)
            answer = await handler(method, path, query)
            if answer is not None:
                writer.write(http_answer(*answer))
                await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, *address)


async def get_status(address, path, timeout):
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                line = await reader.readline()
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0


# Stand-ins


class Store:
    """The platform's store: linearizable reads and watches, nothing is lost."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.calls = {}

    async def start(self):
        self.server = await serve_http(self.address, self.answer)

    def write(self, key, value):
        """Write a value; return the time of the acknowledgement."""
        self.revision += 1
        created = self.items[key][1] if key in self.items else self.revision
        self.items[key] = (self.revision, created, value)
        self._publish(key)
        return time.monotonic()

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._publish(key)

    def _publish(self, key):
        self.history.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def _item(self, key):
        revision, created, value = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease_id": 0,
        }

    async def answer(self, method, path, query):
        self.calls[path] = self.calls.get(path, 0) + 1
        if path == "/kv-key":
            if query["key"] not in self.items:
                return 404, b"{}"
            body = self._item(query["key"]) | {"at": self.revision}
            return 200, json.dumps(body).encode()
        if path == "/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            body = {
                "items": [self._item(key) for key in keys[:500]],
                "has_more": len(keys) > 500,
                "at": self.revision,
            }
            return 200, json.dumps(body).encode()
        if path == "/kv-watch":
            return await self._watch(query)
        return 404, b"{}"

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            latest = {
                key: revision
                for revision, key in self.history
                if revision > after and key.startswith(prefix)
            }
            left = end - time.monotonic()
            if latest or left <= 0:
                break
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
        events = [
            self._item(key)
            if key in self.items
            else {"key": key, "revision": revision, "deleted": True}
            for key, revision in latest.items()
        ]
        return 200, json.dumps({"events": events, "at": self.revision}).encode()


class ServerFlow:
    def __init__(self, seq):
        self.seq = seq
        self.next_seq = (seq + 1) & 0xFFFFFFFF
        self.is_open = False
        self.answers = {}
        self.unacked = None


class Backend:
    """A backend server: one lifetime, beside an agent."""

    def __init__(self, case, name, service, ip, zone):
        self.case, self.name, self.service = case, name, service
        self.ip, self.zone = ip, zone
        self.app = (ip, case.ports["app"])
        self.outbound = (ip, case.ports["outbound"])
        self.born_ms = 0
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        self.ended = set()
        self.openings = []
        """Time and consumer's address of each new opening that was accepted."""
        self.runs = []
        self.packets = []
        """Time, flow and whether the flow was held, of each packet of a consumer."""
        self.work_s = 0.015

    async def start(self):
        self.born_ms = time.time_ns() // 1_000_000
        self.udp = await open_udp(self.app, self.handle)
        self.health = await serve_http(self.app, self.answer_health)
        self.beat_task = asyncio.create_task(self.beat())
        self.case.record.write("backend", self.name, self.service, self.ip, "started")

    async def answer_health(self, method, path, query):
        return (200 if self.state == "ready" else 503), b"{}"

    def register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.app[1]}",
            "zone": self.zone,
            "version": "v1",
            "concurrency": 2,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        value = json.dumps(entry).encode()
        return self.case.store.write(f"servers/{self.name}", value)

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def handle(self, raw, addr):
        packet = Packet(raw)
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        self.packets.append((time.monotonic(), key, flow is not None))
        if not packet.is_genuine or packet.pad != b"\0" * 5 or packet.echo:
            self.case.record.write("FORGED packet at", self.name, key)
            self.case.forged.append((self.name, key))
            return
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = ServerFlow(random.getrandbits(32))
                self.ended.discard(key)
                self.openings.append((time.monotonic(), key))
                self.case.record.write("opening accepted by", self.name, key)
            self.send(key, SYN | ACK, flow.seq, (packet.seq + 1) & 0xFFFFFFFF)
            return
        if flow is None:
            self.refuse(key, packet)
            return
        if packet.flags & RST:
            self.end(key)
            return
        if not flow.is_open:
            if packet.ack != (flow.seq + 1) & 0xFFFFFFFF:
                self.end(key)
                self.send(key, RST, 0, 0)
                return
            flow.is_open = True
            self.case.record.write("flow open at", self.name, key)
        if packet.data:
            if packet.seq in flow.answers:
                if flow.answers[packet.seq]:
                    self.send(key, ACK, *flow.answers[packet.seq])
            else:
                flow.answers[packet.seq] = None
                asyncio.create_task(self.run(key, flow, packet))
        if packet.flags & FIN:
            self.end(key)
            self.send(key, FIN | ACK, flow.next_seq, (packet.seq + 1) & 0xFFFFFFFF)

    def refuse(self, key, packet):
        if key in self.ended:
            if packet.flags & FIN:
                self.send(key, ACK, 0, packet.seq)
            elif packet.data:
                self.send(key, RST, 0, 0)
            return
        fields = list(HEAD.unpack_from(packet.raw))
        fields[9] |= BOUNCED
        fields[10] = b""
        self.udp.sendto(HEAD.pack(*fields) + packet.data, self.outbound)

    def end(self, key):
        self.flows.pop(key, None)
        self.ended.add(key)

    async def run(self, key, flow, packet):
        attempt = packet.data.split(b"X-Citronwinch-Attempt-Id: ")[1].split(b"\r\n")[0]
        self.runs.append((time.monotonic(), attempt.decode()))
        self.case.record.write("run", attempt.decode(), "by", self.name)
        await asyncio.sleep(self.work_s)
        body = b"done " + attempt
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Citronwinch-Backend-Signature: "
            + self.name.encode()
            + b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            + body
        )
        ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        flow.answers[packet.seq] = (flow.next_seq, ack, answer)
        flow.next_seq = (flow.next_seq + len(answer)) & 0xFFFFFFFF
        if self.flows.get(key) is flow:
            self.send(key, ACK, *flow.answers[packet.seq])
            if self.state == "draining":
                self.send(key, FIN | ACK, flow.next_seq, ack)
                self.end(key)

    def send(self, key, flags, seq, ack, data=b""):
        consumer, service = (key[0], key[1]), (key[2], key[3])
        self.udp.sendto(encode(service, consumer, flags, seq, ack, data), self.outbound)


class Router:
    """The routers of a zone: readiness checks twice a second, hash by `mod`."""

    def __init__(self, case):
        self.case = case
        self.misses = {}
        self.in_rotation = {}

    async def run(self):
        while True:
            ips = list(self.case.balancers)
            states = await asyncio.gather(
                *(
                    get_status((ip, self.case.ports["ready"]), "/readyz", 0.4)
                    for ip in ips
                )
            )
            for ip, status in zip(ips, states, strict=True):
                self.misses[ip] = 0 if status == 200 else self.misses.get(ip, 2) + 1
                is_in = self.misses[ip] < 2
                if is_in != self.in_rotation.get(ip, False):
                    self.case.record.write("rotation:", ip, "in" if is_in else "out")
                self.in_rotation[ip] = is_in
            await asyncio.sleep(0.5)

    def choose(self, key):
        ips = sorted(self.case.balancers)
        ready = [ip for ip in ips if self.in_rotation.get(ip)]
        chosen = ready if 2 * len(ready) >= len(ips) else ips
        return chosen[zlib.crc32(repr(key).encode()) % len(chosen)]


class ConsumerFlow:
    """One flow of a consumer."""

    def __init__(self, consumer, port, service):
        self.consumer, self.port, self.service = consumer, port, service
        self.key = (consumer.ip, port, *service)
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.resets = []
        self.inbox = asyncio.Queue()
        self.opened_at = 0.0

    def send(self, flags, seq, ack, data=b""):
        raw = encode((self.consumer.ip, self.port), self.service, flags, seq, ack, data)
        case = self.consumer.case
        balancer = case.router.choose(self.key)
        self.consumer.udp.sendto(raw, (balancer, case.ports["datagram"]))

    def handle(self, packet):
        case = self.consumer.case
        if packet.is_own_reset:
            distance = (packet.seq - self.ack) & 0xFFFFFFFF
            near = min(distance, (1 << 32) - distance) <= RESET_WINDOW
            if self.is_open and not near:
                case.record.write("reset without a valid number at", self.key)
                return
            self.resets.append(time.monotonic())
            case.record.write("reset of the system's own at", self.key)
            case.on_reset(self)
            self.inbox.put_nowait(packet)
            return
        if not packet.is_genuine:
            case.record.write("FORGED packet at consumer", self.key)
            case.forged.append(("consumer", self.key))
            return
        self.inbox.put_nowait(packet)

    async def open(self):
        """Return `open`, `reset` or `silence`."""
        case = self.consumer.case
        self.first_syn_at = time.monotonic()
        case.record.write("opening sent", self.key)
        for copy, gap in enumerate((0.2, 0.4, 0.8)):
            self.send(SYN, self.seq, copy)
            try:
                async with asyncio.timeout(gap):
                    while True:
                        packet = await self.inbox.get()
                        if packet.flags & RST:
                            return "reset"
                        if packet.flags & SYN:
                            break
            except TimeoutError:
                continue
            self.is_open = True
            self.opened_at = time.monotonic()
            self.seq = (self.seq + 1) & 0xFFFFFFFF
            self.ack = (packet.seq + 1) & 0xFFFFFFFF
            self.send(ACK, self.seq, self.ack)
            return "open"
        return "silence"

    async def request(self, attempt, deadline_s=5.0):
        """Return `served`, `reset`, `closed` or `silence`."""
        case = self.consumer.case
        data = (
            f"GET /x HTTP/1.1\r\nHost: x\r\nX-Citronwinch-Attempt-Id: {attempt}\r\n\r\n"
        ).encode()
        case.record.write("request", attempt, "sent on", self.key)
        end = (self.seq + len(data)) & 0xFFFFFFFF
        while not self.inbox.empty():
            if self.inbox.get_nowait().flags & FIN:
                return "closed"
        limit = time.monotonic() + deadline_s
        gap = 0.2
        while time.monotonic() < limit:
            self.send(ACK, self.seq, self.ack, data)
            try:
                async with asyncio.timeout(min(gap, limit - time.monotonic())):
                    while True:
                        packet = await self.inbox.get()
                        if packet.flags & RST:
                            case.record.write("request", attempt, "got a reset")
                            return "reset"
                        if packet.data and packet.ack == end:
                            break
                        if packet.flags & FIN:
                            return "closed"
            except TimeoutError:
                gap = min(2 * gap, MAX_RETRANSMISSION_S)
                continue
            self.seq = end
            self.ack = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.send(ACK, self.seq, self.ack)
            if not packet.data.endswith(b"done " + attempt.encode()):
                case.record.write("FOREIGN answer to", attempt)
                case.forged.append(("answer", attempt))
            case.record.write("request", attempt, "answered")
            return "served"
        case.record.write("request", attempt, "not answered")
        return "silence"

    def close(self):
        self.send(FIN | ACK, self.seq, self.ack)


class Consumer:
    def __init__(self, case, ip):
        self.case, self.ip = case, ip
        self.flows = {}
        self.next_port = 2000

    async def start(self):
        self.udp = await open_udp((self.ip, self.case.ports["datagram"]), self.handle)

    def handle(self, raw, addr):
        packet = Packet(raw)
        flow = self.flows.get((packet.dport, (packet.src, packet.sport)))
        if flow is not None:
            flow.handle(packet)

    def new_flow(self, service):
        self.next_port += 1
        flow = ConsumerFlow(self, self.next_port, service)
        self.flows[self.next_port, service] = flow
        return flow


# Processes of the project


def fill_template(text, fields):
    """Fill in the placeholders that the project's templates use."""

    def replace(match):
        value = fields
        for part in match[1].split("."):
            value = value[part]
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return re.sub(r"\{\{([a-z_.]+)\}\}", replace, text)


class Process:
    """A balancer or an agent, which is started again when it ends."""

    def __init__(self, case, role, ip, zone, **extra):
        self.case, self.role, self.ip, self.zone = case, role, ip, zone
        self.name = f"{role}-{ip}"
        self.extra = extra
        self.popen = None
        self.starts = 0
        self.expected_end = False
        self.own_ends = []
        """When the process ended by itself."""

    def write_settings(self):
        """Fill in the settings file; return its path."""
        case, ports = self.case, self.case.ports
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "bootstrap": self.starts == 0,
            "port_range": [ports["peer"], ports["peer"] + 1],
            "seed_nodes": case.seeds,
            "listen_addrs": {
                "ready": f"{self.ip}:{ports['ready']}",
                "datagram_addr": f"{self.ip}:{ports['datagram']}",
                "outbound": f"{self.ip}:{ports['outbound']}",
                "control_plane": f"{self.ip}:{ports['control']}",
            },
            "bounds": case.bounds,
            "limits": {"bandwidth_mbps": 1000.0},
            "platform": {"address": "%s:%d" % case.store.address},
            **self.extra,
        }
        role = case.deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        settings = case.folder / f"{self.name}.ini"
        text = fill_template(template, fields)
        scratch = settings.with_suffix(".new")
        scratch.write_text(text)
        scratch.replace(settings)
        return settings

    def start(self):
        case = self.case
        settings = self.write_settings()
        role = case.deploy["roles"][self.role]
        log = open(case.folder / f"{self.name}.log", "ab")
        self.popen = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                "HOME": str(case.folder),
                "LANG": "C.UTF-8",
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CITRONWINCH_NODE_FILE": str(settings),
            },
        )
        log.close()
        self.starts += 1
        case.record.write("process", self.name, "start", self.starts)

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.case.record.write("process", self.name, signal.Signals(number).name)
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.expected_end = True
            self.popen.send_signal(number)

    async def supervise(self):
        self.start()
        while True:
            await asyncio.sleep(0.02)
            code = self.popen.poll()
            if code is None:
                continue
            self.case.record.write("process", self.name, "ended with", code)
            if not self.expected_end:
                self.own_ends.append(time.monotonic())
            self.expected_end = False
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()


class Case:
    """One deployment with its stand-ins."""

    def __init__(self, folder):
        self.case_folder = Path(folder)
        self.record = Record(self.case_folder / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.forged = []
        self.balancers, self.agents, self.backends = {}, {}, {}
        self.tasks = []
        self.version = 0
        self.routes = {}
        with open(ROOT / "deploy" / "system.toml", "rb") as stream:
            self.deploy = tomllib.load(stream)
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("the build of the deploy file is missing")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.octet = random.randrange(60, 250)
        self.ports = self._find_ports()
        self.seeds = []
        self.bounds = dict(BOUNDS)
        """The figures in the settings files that are written from now on."""

    def ip(self, number):
        return f"127.{self.octet}.{number // 250}.{number % 250 + 1}"

    def _find_ports(self):
        names = ("app", "outbound", "datagram", "ready", "control", "peer", "store")
        for _ in range(50):
            base = random.randrange(12_000, 30_000)
            ports = {name: base + 2 * index for index, name in enumerate(names)}
            try:
                for number in (0, 1, 10, 11, 12, 20, 21, 22, 23, 24, 25):
                    for port in range(base, base + 16):
                        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                            with socket.socket(socket.AF_INET, kind) as probe:
                                probe.bind((self.ip(number), port))
            except OSError:
                self.octet = random.randrange(60, 250)
                continue
            return ports
        raise CannotRun("no free ports")

    def on_reset(self, flow):
        """Called for each valid reset of the system's own; cases may replace it."""

    def write_configuration(self, routes, step=1):
        """Write a configuration; return the time of the acknowledgement."""
        self.routes = routes
        self.version += step
        body = {
            "version": self.version,
            "routes": [
                {
                    "name": f"route-{ip}-{port}",
                    "host": ip,
                    "prefix": f"/{port}/",
                    "type": "idempotent",
                    "timeout_ms": 5000,
                    "target_latency_ms": 120,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for (ip, port), service in routes.items()
            ],
            "services": [{"name": name} for name in sorted(set(routes.values()))],
            "limits": {"idle_timeout_ms": 60_000},
        }
        at = self.store.write("op/config", json.dumps(body).encode())
        self.record.write("configuration", self.version, "acknowledged:", routes)
        return at

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self, balancers, backends, routes, consumers=1):
        """Start everything.

        `balancers` are zones; `backends` are pairs of service and zone.
        """
        self.store = Store((self.ip(0), self.ports["store"]), self.record)
        await self.store.start()
        self.write_configuration(routes)
        self.router = Router(self)
        self.consumers = [Consumer(self, self.ip(1 + n)) for n in range(consumers)]
        for consumer in self.consumers:
            await consumer.start()
        ips = [self.ip(10 + n) for n in range(len(balancers))]
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in ips[:3]]
        for ip, zone in zip(ips, balancers, strict=True):
            self.balancers[ip] = Process(self, "balancer", ip, zone)
            self.spawn(self.balancers[ip].supervise())
        for n, (service, zone) in enumerate(backends):
            ip = self.ip(20 + n)
            await self.add_backend(f"i-{n:02d}", service, ip, zone)
        self.spawn(self.router.run())
        await self.wait_for(
            lambda: all(self.router.in_rotation.get(ip) for ip in self.balancers), 30
        )
        await asyncio.sleep(max(0.0, LEAD_S - self.record.now()))

    async def add_backend(self, name, service, ip, zone):
        app = f"{ip}:{self.ports['app']}"
        agent = Process(self, "agent", ip, zone, service=service, app=app)
        backend = Backend(self, name, service, ip, zone)
        self.agents[ip], self.backends[name] = agent, backend
        self.spawn(agent.supervise())
        await backend.start()
        return backend

    async def wait_for(self, condition, limit_s):
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("the deployment was not ready in time")
            await asyncio.sleep(0.1)

    def close(self):
        for task in self.tasks:
            task.cancel()
        processes = [*self.balancers.values(), *self.agents.values()]
        for process in processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
        for process in processes:
            if process.popen is not None:
                process.popen.wait(10)
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            Path(logs).mkdir(parents=True, exist_ok=True)
            for log in self.folder.glob("*.log"):
                (Path(logs) / log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


def run_case(folder, play):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    case, code = None, 2

    async def main():
        async with asyncio.timeout(112):
            return await play(case)

    try:
        case = Case(folder)
        broken = asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
    else:
        for text in broken:
            case.record.write("BROKEN", text)
            print("broken:", text)
        case.record.write("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    finally:
        if case is not None:
            case.close()
    sys.stdout.flush()
    # Transports of a loop that has ended would only print warnings.
    os._exit(code)
