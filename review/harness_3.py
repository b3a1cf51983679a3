"""Stand-ins and process control for the cases of the third review (11 to 15).

Only the standard library is used. The stand-ins follow PROTOCOL.md: the store, the
routers, the consumers and the back ends live in the process of the case; balancers and
agents are the project's own programs, started with the commands of deploy/system.toml
as separate processes on loopback addresses.
"""

import asyncio
import base64
import hashlib
import hmac
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SYN, ACK, FIN, RST, BOUNCED = 8, 16, 64, 4, 1
HEAD = struct.Struct("<IIIHHIHIIB5s")
HEAD_BYTES = 36
KEY = os.urandom(16)

DRAIN_MS = 3_000
CONFIG_APPLY_MS = 3_000
CONTACT_MS = 4_000
HEARTBEAT_S = 1.2
GRACE_S = 6
RESTART_DELAY_S = 0.3
SYN_GAPS_S = (0.2, 0.4, 0.8)


def now():
    return time.monotonic()


def ip_number(ip):
    return struct.unpack("!I", socket.inet_aton(ip))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack("!I", number))


class Packet:
    """One packet of PROTOCOL.md."""

    __slots__ = (
        "ack", "data", "dport", "dst", "echo", "flags", "pad", "seq", "sport", "src",
        "sum",
    )  # fmt: skip

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq % 2**32, ack % 2**32, data
        self.echo, self.pad, self.sum = 0, bytes(5), 0

    def compute_sum(self):
        text = repr((
            self.src, self.sport, self.dst, self.dport, self.flags & ~BOUNCED,
            self.seq, self.ack, self.data,
        )).encode()  # fmt: skip
        return struct.unpack("<I", hmac.digest(KEY, text, "sha256")[:4])[0] or 1

    def encode(self):
        self.sum = self.sum or self.compute_sum()
        head = HEAD.pack(
            self.echo, self.seq, self.ack, len(self.data), self.sport,
            ip_number(self.dst), self.dport, ip_number(self.src), self.sum,
            self.flags, self.pad,
        )  # fmt: skip
        return head + self.data

    def is_genuine(self):
        return self.sum == self.compute_sum()

    @classmethod
    def decode(cls, raw):
        echo, seq, ack, size, sport, dst, dport, src, total, flags, pad = HEAD.unpack_from(
            raw
        )
        packet = cls(
            ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[HEAD_BYTES:]
        )
        packet.echo, packet.pad, packet.sum = echo, pad, total
        assert len(packet.data) == size
        return packet


class Recorder:
    """Writes record.txt and keeps the events for the check."""

    def __init__(self, folder):
        self.started = now()
        self.stream = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.stream.write(f"{now() - self.started:9.3f} {event} {text}\n")
        self.stream.flush()


class Udp(asyncio.DatagramProtocol):
    """Hands each datagram to a function."""

    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data)

    def error_received(self, exc):
        pass


async def open_udp(address, handle):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Udp(handle), local_addr=address
    )
    transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20
    )
    return transport


class World:
    """The addresses, ports and settings of one small deployment."""

    def __init__(self, folder, zones=("zone-a",)):
        self.recorder = Recorder(folder)
        self.network = f"127.{random.randint(20, 250)}"
        self.zones = {zone: "region-a" for zone in zones}
        self.hosts = 0
        self.machines = {}
        self.directory = Path(tempfile.mkdtemp(prefix="review3-"))
        self.ports = self.find_ports(8)
        (self.peer_port, self.datagram_port, self.ready_port, self.control_port,
         self.app_port, self.outbound_port, self.store_port, _) = self.ports  # fmt: skip
        self.store = Store(self, (f"{self.network}.0.1", self.store_port))
        self.routers = Router(self)
        self.seeds = []
        with (ROOT / "deploy/system.toml").open("rb") as stream:
            self.roles = tomllib.load(stream)["roles"]
        self.processes = {}
        self.tasks = []
        self.stopping = set()
        self.unexpected_exits = []
        self.is_closing = False
        self.restarts = True

    def find_ports(self, count):
        base = random.randint(11_000, 29_000)
        while True:
            ports = range(base, base + count)
            try:
                for port in ports:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"{self.network}.0.1", port))
                return list(ports)
            except OSError:
                base = random.randint(11_000, 29_000)

    def new_ip(self, block):
        self.hosts += 1
        return f"{self.network}.{block}.{self.hosts}"

    def settings(self, name, machine):
        """Return the fields that DEPLOY.md lists, for one machine."""
        ip = machine["ip"]
        fields = {
            "node_name": name,
            "role": machine["role"],
            "machine_class": machine["class"],
            "serves": self.roles[machine["role"]]["serves"],
            "ip": ip,
            "zone": machine["zone"],
            "region": "region-a",
            "port_range": [self.peer_port],
            "seed_nodes": [f"{seed}:{self.control_port}" for seed in self.seeds[:3]],
            "bootstrap": machine["bootstrap"],
            "heartbeat_ms": 1200,
            "hash_policy": "mod",
            "forwarding_mode": "agent",
            "listen_addrs": {
                "datagram_addr": f"{ip}:{self.datagram_port}",
                "ready": f"{ip}:{self.ready_port}",
                "control_plane": f"{ip}:{self.control_port}",
                "outbound": f"{ip}:{self.outbound_port}",
            },
            "limits": {"bandwidth_mbps": 1000.0, "memory_mb": 300, "max_fds": 4100},
            "bounds": {"grace_s": GRACE_S, "drain_ms": DRAIN_MS},
            "platform": {"address": "%s:%d" % self.store.address},
        }
        if machine["class"] == "side":
            fields["service"] = machine["service"]
            fields["app"] = f"{ip}:{self.app_port}"
        return fields

    def write_settings(self, name):
        machine = self.machines[name]
        role = self.roles[machine["role"]]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        text = fill_template(template, self.settings(name, machine))
        path = self.directory / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        return path

    def add_balancer(self, name, zone):
        ip = self.new_ip(1)
        self.machines[name] = {
            "role": "balancer", "class": "edge", "ip": ip, "zone": zone,
            "bootstrap": True,
        }  # fmt: skip
        self.routers.add(name, ip, zone)
        return ip

    def add_agent(self, name, zone, service):
        ip = self.new_ip(2)
        self.machines[name] = {
            "role": "agent", "class": "side", "ip": ip, "zone": zone,
            "bootstrap": True, "service": service,
        }  # fmt: skip
        return ip

    async def start(self, name):
        """Start the program of a machine with the command of the deploy file."""
        path = self.write_settings(name)
        command = self.roles[self.machines[name]["role"]]["run"].split()
        log = (self.directory / f"{name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": str(self.directory),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CITRONWINCH_NODE_FILE": str(path),
        }
        program = sys.executable if command[0] == "python3" else command[0]
        process = await asyncio.create_subprocess_exec(
            program, *command[1:], cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
        )  # fmt: skip
        log.close()
        self.processes[name] = process
        self.machines[name]["bootstrap"] = False
        self.recorder.write("process-started", name=name, pid=process.pid)
        self.tasks.append(asyncio.create_task(self.supervise(name, process)))

    async def supervise(self, name, process):
        """Start a process again after it has ended, as the platform does."""
        code = await process.wait()
        if self.is_closing:
            return
        self.recorder.write("process-ended", name=name, code=code)
        if name not in self.stopping:
            self.unexpected_exits.append(name)
        self.stopping.discard(name)
        if name in self.machines:
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.is_closing and name in self.machines:
                await self.start(name)

    def send_signal(self, name, number):
        self.recorder.write("signal", name=name, number=number.name)
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.stopping.add(name)
        self.processes[name].send_signal(number)

    async def terminate(self, name):
        """Stop a process as planned work does: SIGTERM, SIGKILL after grace_s."""
        process = self.processes[name]
        self.send_signal(name, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except TimeoutError:
            process.kill()

    async def remove_machine(self, name):
        """Take a machine away: its process gets SIGTERM and is not started again."""
        del self.machines[name]
        await self.terminate(name)

    async def run_platform(self):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.routers.run()))

    async def start_all(self):
        await asyncio.gather(*(self.start(name) for name in list(self.machines)))

    def close(self):
        """End all processes that this case started."""
        self.is_closing = True
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.kill()
                except ProcessLookupError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def fill_template(template, fields):
    """Fill in the placeholders that the project's templates use."""

    def find(match):
        value = fields
        for part in match.group(1).split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return str(value)

    return re.sub(r"\{\{([a-z_.]+)\}\}", find, template)


class Store:
    """The platform's metadata store: ranges, keys and watches over HTTP/1.1."""

    def __init__(self, world, address):
        self.world, self.address = world, address
        self.revision = 10
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.refuses = lambda: None
        """Returns an HTTP status with which calls are refused, None to serve them."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def write(self, key, value):
        self.revision += 1
        data = json.dumps(value).encode() if not isinstance(value, bytes) else value
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key, "value": base64.b64encode(data).decode(),
            "revision": self.revision, "created": created, "lease_id": 0,
        }  # fmt: skip
        self.items[key] = item
        self.note(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            target = head.split(b" ", 2)[1].decode()
            status, body = await self.answer(target)
            data = json.dumps(body).encode()
            writer.write(
                f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        await asyncio.sleep(0.004)
        refusal = self.refuses()
        if refusal is not None:
            return refusal, {"error": "refused"}
        path, _, text = target.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
        query = {name: value.replace("%2F", "/") for name, value in query.items()}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at": self.revision})
        if path == "/kv-range":
            keys = sorted(
                key for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )  # fmt: skip
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "has_more": len(keys) > 500,
                "at": self.revision,
            }
        if path == "/kv-watch":
            return 200, await self.watch(query)
        return 404, {}

    async def watch(self, query):
        after, deadline = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event for event in self.history
                if event["revision"] > after and event["key"].startswith(query["prefix"])
            ]  # fmt: skip
            left = deadline - now()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass


def make_route(name, host, port, service, kind="non_idempotent", timeout_ms=1200):
    return {
        "name": name, "host": host, "prefix": f"/{port}/", "type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 150, "priority": 1,
        "service": service, "max_attempts": 2,
    }  # fmt: skip


def write_config(world, version, routes, services, idle_timeout_ms=15_000):
    """Write a configuration; the store's answer is its acknowledgement."""
    world.store.write("op/config", {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 2000,
             "protocol": "h1", "tls": False}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144,
            "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms,
        },
    })  # fmt: skip
    world.recorder.write("config-acknowledged", version=version,
                         routes=",".join(route["name"] for route in routes))  # fmt: skip


class Router:
    """Checks readiness twice a second and hashes packets over the rotation (mod)."""

    def __init__(self, world):
        self.world = world
        self.daemons = {}

    def add(self, name, ip, zone):
        self.daemons[name] = {"ip": ip, "zone": zone, "misses": 2, "in": False}

    async def run(self):
        while True:
            await asyncio.gather(*(self.check(name) for name in list(self.daemons)))
            await asyncio.sleep(0.5)

    async def check(self, name):
        daemon = self.daemons[name]
        is_ready = False
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    daemon["ip"], self.world.ready_port
                )
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                is_ready = b" 200 " in await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            pass
        daemon["misses"] = 0 if is_ready else daemon["misses"] + 1
        was_in, daemon["in"] = daemon["in"], is_ready or (
            daemon["in"] and daemon["misses"] < 2
        )
        if was_in != daemon["in"]:
            names = [each for each, other in self.daemons.items() if other["in"]]
            self.world.recorder.write("rotation", daemons=",".join(names) or "none")

    def list_rotation(self, zone):
        own = [name for name, each in self.daemons.items() if each["zone"] == zone]
        ready = [name for name in own if self.daemons[name]["in"]]
        return ready if 2 * len(ready) >= len(own) else own

    def choose(self, zone, src, sport, dst, dport, rotation=None):
        rotation = rotation or self.list_rotation(zone)
        value = zlib.crc32(repr((src, sport, dst, dport)).encode())
        return rotation[value % len(rotation)]


class BackendFlow:
    """The state of one flow at a back end."""

    def __init__(self, caller_next):
        self.caller_next = caller_next
        self.isn = random.getrandbits(32)
        self.is_open = self.is_ended = self.is_closing = False
        self.expected = caller_next
        self.next_seq = (self.isn + 1) % 2**32
        self.unacked = None
        self.parts = {}
        self.buffer = b""


class Backend:
    """A back end beside an agent: holds flows, runs requests, drains and leaves."""

    def __init__(self, world, name, agent, service, work_s=0.02, slots=1):
        self.world, self.name, self.agent, self.service = world, name, agent, service
        machine = world.machines[agent]
        self.ip, self.zone = machine["ip"], machine["zone"]
        self.address = (self.ip, world.app_port)
        self.outbound = (self.ip, world.outbound_port)
        self.work_s, self.slots = work_s, asyncio.Semaphore(slots)
        self.concurrency = slots
        self.flows, self.ended = {}, {}
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.answers = {}
        self.on_opening = lambda packet: None
        self.on_run = lambda attempt, backend: None
        self.on_forged = lambda packet: None
        self.is_dead = False

    async def start(self):
        self.udp = await open_udp(self.address, self.receive)
        self.tcp = await asyncio.start_server(self.serve_health, *self.address)
        self.world.recorder.write("backend-started", id=self.name, address=self.ip)
        self.heart = asyncio.create_task(self.beat())
        self.world.tasks.append(self.heart)

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        self.world.store.write(f"servers/{self.name}", {
            "service": self.service, "address": "%s:%d" % self.address,
            "zone": self.zone, "version": "v1", "concurrency": self.concurrency,
            "state": self.state, "warmup_left_ms": 0, "sequence": self.sequence,
            "born": self.born,
        })  # fmt: skip

    def drain(self):
        """Report draining; the store's answer is the acknowledgement."""
        self.state = "draining"
        self.register()
        self.world.recorder.write("draining-acknowledged", id=self.name)
        return now()

    async def leave(self):
        """Exit after a drain: the entry goes, then the agent is stopped."""
        self.is_dead = True
        self.heart.cancel()
        self.udp.close()
        self.tcp.close()
        self.world.store.delete(f"servers/{self.name}")
        self.world.recorder.write("backend-left", id=self.name, flows=len(self.flows))
        await self.world.remove_machine(self.agent)

    async def serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 ok" if self.state == "ready" else "503 draining"
            writer.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n"
                f"X-Citronwinch-Backend-Id: {self.name}\r\n\r\n".encode()
            )
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def send(self, key, flow, flags, data=b"", seq=None):
        caller, port, host, host_port = key
        packet = Packet(
            host, host_port, caller, port, flags,
            flow.next_seq if seq is None else seq, flow.expected, data,
        )  # fmt: skip
        self.udp.sendto(packet.encode(), self.outbound)

    def bounce(self, raw, packet):
        packet.flags |= BOUNCED
        packet.pad = bytes(5)
        self.udp.sendto(packet.encode(), self.outbound)

    def receive(self, raw):
        packet = Packet.decode(raw)
        if not packet.is_genuine() or packet.flags & BOUNCED:
            self.world.recorder.write("forged-at-backend", id=self.name)
            self.on_forged(packet)
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            self.receive_opening(key, flow, packet)
            return
        if flow is None:
            self.receive_unknown(key, raw, packet)
            return
        if not flow.is_open:
            if packet.ack != (flow.isn + 1) % 2**32:
                self.bounce(raw, packet)
                return
            flow.is_open = True
            self.world.recorder.write("flow-open", id=self.name, port=packet.sport)
        if packet.flags & RST:
            del self.flows[key]
            return
        if flow.unacked is not None and packet.ack == flow.next_seq:
            flow.unacked = None
        if packet.data:
            self.receive_data(key, flow, packet)
        if packet.flags & FIN and packet.seq + len(packet.data) == flow.expected:
            flow.expected = (flow.expected + 1) % 2**32
            if not flow.is_closing:
                self.close_flow(key, flow)
            else:
                self.send(key, flow, ACK)
            self.end(key, flow)

    def receive_opening(self, key, flow, packet):
        if flow is None or flow.caller_next != (packet.seq + 1) % 2**32:
            flow = self.flows[key] = BackendFlow((packet.seq + 1) % 2**32)
            self.ended.pop(key, None)
            self.world.recorder.write("opening-taken", id=self.name, port=packet.sport,
                                      copy=packet.ack, state=self.state)  # fmt: skip
            self.on_opening(packet)
        self.send(key, flow, SYN | ACK, seq=flow.isn)

    def receive_unknown(self, key, raw, packet):
        """Answer a flow that has ended here; bounce one that this back end never held."""
        ended = self.ended.get(key)
        if ended is None:
            self.bounce(raw, packet)
        elif packet.flags & RST:
            return
        elif packet.flags & FIN:
            self.send(key, ended, ACK)
        elif packet.data:
            self.world.recorder.write("reset-for-ended-flow", id=self.name, port=key[1])
            reset = Packet(key[2], key[3], key[0], key[1], RST, packet.ack, 0)
            self.udp.sendto(reset.encode(), self.outbound)

    def receive_data(self, key, flow, packet):
        if packet.seq != flow.expected:
            self.send(key, flow, ACK)
            return
        flow.expected = (flow.expected + len(packet.data)) % 2**32
        flow.buffer += packet.data
        self.send(key, flow, ACK)
        if b"\r\n\r\n" in flow.buffer:
            request, flow.buffer = flow.buffer, b""
            self.world.tasks.append(asyncio.create_task(self.run(key, flow, request)))

    async def run(self, key, flow, request):
        attempt = re.search(rb"X-Citronwinch-Attempt-Id: (\S+)", request).group(1).decode()
        async with self.slots:
            self.world.recorder.write("run", id=self.name, attempt=attempt,
                                      service=self.service)  # fmt: skip
            self.on_run(attempt, self)
            await asyncio.sleep(self.work_s)
        if self.is_dead or self.flows.get(key) is not flow:
            return
        body = f"{self.name} {attempt}".encode().ljust(200, b".")
        digest = hashlib.sha256(KEY + body).hexdigest()
        must_close = b"Connection: close" in request or self.state == "draining"
        closing = "Connection: close\r\n" if must_close else ""
        answer = (
            f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n{closing}"
            f"X-Citronwinch-Backend-Signature: {digest}\r\n\r\n"
        ).encode() + body
        seq = flow.next_seq
        flow.next_seq = (flow.next_seq + len(answer)) % 2**32
        flow.unacked = answer
        if must_close:
            flow.is_closing = True
            flow.next_seq = (flow.next_seq + 1) % 2**32
        flags = ACK | FIN if must_close else ACK
        for gap in (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6, 1.6):
            self.send(key, flow, flags, answer, seq=seq)
            await asyncio.sleep(gap)
            if flow.unacked is None or self.is_dead:
                return

    def close_flow(self, key, flow):
        flow.is_closing = True
        self.send(key, flow, FIN | ACK)
        flow.next_seq = (flow.next_seq + 1) % 2**32

    def end(self, key, flow):
        flow.is_ended = True
        flow.unacked = None
        if self.flows.get(key) is flow:
            del self.flows[key]
        self.ended[key] = flow


class ConsumerFlow:
    """The state of one flow at a consumer."""

    def __init__(self, port, route):
        self.port, self.route = port, route
        self.isn = random.getrandbits(32)
        self.next_seq = (self.isn + 1) % 2**32
        self.expected = 0
        self.state = "opening"
        self.changed = asyncio.Event()
        self.buffer = b""
        self.acked = self.next_seq
        self.opened = self.closed = None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Consumer:
    """A consumer at one address; its packets take the routers' choice of a daemon."""

    def __init__(self, world, zone):
        self.world, self.zone = world, zone
        self.ip = world.new_ip(3)
        self.flows = {}
        self.on_packet = lambda flow, packet: None
        self.on_send = lambda flow, daemon, packet: None
        self.forged = []

    async def start(self):
        self.udp = await open_udp((self.ip, self.world.datagram_port), self.receive)

    def send(self, flow, flags, data=b"", seq=None, ack=None):
        host, port = flow.route
        packet = Packet(
            self.ip, flow.port, host, port, flags,
            flow.next_seq if seq is None else seq,
            flow.expected if ack is None else ack, data,
        )  # fmt: skip
        daemon = self.world.routers.choose(self.zone, self.ip, flow.port, host, port)
        self.on_send(flow, daemon, packet)
        address = (self.world.routers.daemons[daemon]["ip"], self.world.datagram_port)
        self.udp.sendto(packet.encode(), address)
        return daemon

    def receive(self, raw):
        packet = Packet.decode(raw)
        flow = self.flows.get((packet.dport, (packet.src, packet.sport)))
        is_own_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if not is_own_reset and not packet.is_genuine():
            self.forged.append(packet)
            self.world.recorder.write("forged-at-consumer", port=packet.dport)
            return
        if flow is None or flow.state in ("closed", "reset", "silent"):
            return
        self.on_packet(flow, packet)
        if packet.flags & RST:
            kind = "system" if is_own_reset else "back-end"
            self.world.recorder.write("reset-at-consumer", port=flow.port, by=kind,
                                      state=flow.state)  # fmt: skip
            flow.state = "reset"
            flow.wake()
            return
        if packet.flags & SYN:
            if flow.state == "opening" and packet.ack == flow.next_seq:
                flow.state, flow.expected = "open", (packet.seq + 1) % 2**32
                flow.opened = now()
                self.send(flow, ACK)
                flow.wake()
            return
        if flow.state == "opening":
            return
        if packet.flags & ACK:
            flow.acked = packet.ack
        if packet.seq == flow.expected and (packet.data or packet.flags & FIN):
            flow.buffer += packet.data
            flow.expected = (flow.expected + len(packet.data)) % 2**32
            if packet.flags & FIN:
                flow.expected = (flow.expected + 1) % 2**32
                flow.state = "ended-by-back-end"
                self.send(flow, FIN | ACK)
                flow.next_seq = (flow.next_seq + 1) % 2**32
            else:
                self.send(flow, ACK)
        elif packet.data or packet.flags & FIN:
            self.send(flow, ACK)
        if flow.state == "ended-by-back-end" and flow.acked == flow.next_seq:
            flow.state, flow.closed = "closed", now()
        flow.wake()

    async def open(self, port, route):
        """Open a flow; return it when it is open, reset or silent."""
        flow = self.flows[port, route] = ConsumerFlow(port, route)
        for copy, gap in enumerate(SYN_GAPS_S):
            daemon = self.send(flow, SYN, seq=flow.isn, ack=copy)
            self.world.recorder.write("opening-sent", port=port, copy=copy, daemon=daemon)
            if await self.wait(flow, lambda: flow.state != "opening", gap):
                break
        else:
            flow.state = "silent"
        return flow

    async def request(self, flow, attempt, deadline_s=1.2, close=False):
        """Send one request on a flow; return how it ended and the answer."""
        closing = "Connection: close\r\n" if close else ""
        text = (
            f"POST /entry HTTP/1.1\r\nHost: x\r\n{closing}"
            f"X-Citronwinch-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        seq, flow.next_seq = flow.next_seq, (flow.next_seq + len(text)) % 2**32
        end, gap = now() + deadline_s, 0.2
        flow.buffer = b""
        while now() < end:
            if flow.acked == seq:
                self.send(flow, ACK, text, seq=seq)
            is_answered = lambda: flow.state == "reset" or self.is_whole(flow.buffer)  # noqa: E731
            if await self.wait(flow, is_answered, min(gap, end - now())):
                break
            gap = min(2 * gap, 1.6)
        if self.is_whole(flow.buffer):
            body = flow.buffer.partition(b"\r\n\r\n")[2]
            digest = hashlib.sha256(KEY + body).hexdigest().encode()
            if digest not in flow.buffer or attempt.encode() not in body:
                return "wrong-answer", b""
            return "answered", body.split()[0].decode()
        return ("reset" if flow.state == "reset" else "no-answer"), ""

    @staticmethod
    def is_whole(buffer):
        head, found, body = buffer.partition(b"\r\n\r\n")
        size = re.search(rb"Content-Length: (\d+)", head)
        return bool(found) and size is not None and len(body) >= int(size.group(1))

    @staticmethod
    async def wait(flow, condition, seconds):
        end = now() + seconds
        while not condition():
            left = end - now()
            if left <= 0:
                return False
            try:
                await asyncio.wait_for(flow.changed.wait(), left)
            except TimeoutError:
                return condition()
        return True


async def wait_until(condition, seconds):
    end = now() + seconds
    while now() < end:
        if condition():
            return True
        await asyncio.sleep(0.05)
    return condition()


def main(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(asyncio.wait_for(case(with_trouble), 110))
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        code = 2
    sys.exit(code)
