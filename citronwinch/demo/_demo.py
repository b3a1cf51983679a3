"""The whole path on loopback while operators change everything about it."""

import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import orjson
import trio

from citronwinch.coordination import Endpoint
from citronwinch.demo._callers import Caller, CallerReport, keep_flow
from citronwinch.demo._deployment import Deployment, DeploymentShape
from citronwinch.demo._ports import choose_base_port
from citronwinch.network import HttpError, fetch

READY_TIMEOUT_MS = 30_000
"""How long all processes may take to become ready, in milliseconds."""

REQUEST_INTERVAL_MS = 250
"""How often each long flow sends a request, in milliseconds."""

STOP_TIMEOUT_SECONDS = 5
"""How long the processes may take together to end when the demo is over."""


LOG_LINES = 12
"""How many lines of its log are shown when a process ends by itself."""


class DemoOptions(NamedTuple):
    """How the demo runs."""

    seed: int = 1
    """Seeds spraying, flows and pauses."""

    base_port: int = 0
    """The first port that is used; 0 takes free ones."""

    flows_per_server: int = 8
    """The long flows per backend server."""

    step_ms: int = 4_000
    """The time between two changes, in milliseconds."""


class DemoResult(NamedTuple):
    """What the callers and backend servers saw."""

    requests: int
    """Requests sent."""

    answered: int
    """Requests whose whole answer came."""

    not_run: int
    """Requests whose callers were told that they were not run."""

    unanswered: int
    """Requests without any answer in time."""

    wrong_answers: int
    """Answers that were not the caller's own or not whole."""

    broken_flows: int
    """Established flows that changed backend server or went unanswered."""

    doubled: int
    """Requests that ran more than once."""

    misdirected: int
    """Requests that ran at a backend server of another service."""

    flows: int
    """Long flows that were established."""

    imbalance: float
    """The most flows on a backend server over the mean, the worse service."""


class ProcessEndedError(Exception):
    """A process of the demo ended by itself; carries the end of its log."""

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        lines = "\n".join(log.splitlines()[-LOG_LINES:])
        super().__init__(f"{name} ended with exit code {exit_code}:\n{lines}")


class Demo:
    """Starts every process, applies changes, and ends every process."""

    def __init__(
        self, shape: DeploymentShape, directory: Path, options: DemoOptions
    ) -> None:
        self.options = options
        base_port = choose_base_port(options.base_port)
        self.deployment = Deployment(shape, directory, base_port)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.balancers = {f"balancer-{i}": "live" for i in (1, 2, 3)}
        self.agents = {row.backend_server: "live" for row in self.deployment.rows}
        self.report = CallerReport()
        self.progress = ProgressLines()
        self.source = random.Random(options.seed)

    def start(self, name: str, *arguments: str) -> None:
        """Start one process; its log goes to a file beside its settings."""
        with (self.deployment.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def start_daemon(self, name: str) -> None:
        """Start a balancer or an agent."""
        path = self.deployment.write_settings(name)
        self.start(name, "citronwinch.daemon", str(path))

    def start_standins(self) -> None:
        """Start what surrounds the system."""
        deployment = self.deployment
        deployment.write_table(deployment.rows)
        deployment.write_instances(self.balancers, self.agents)
        module = "citronwinch.standins"
        listen = ["--listen", str(deployment.platform)]
        directory = ["--directory", str(deployment.directory)]
        self.start("platform", module, "platform", *listen, *directory)
        fabric = ["--return-address", str(deployment.fabric_return)]
        fabric += ["--platform", str(deployment.platform)]
        fabric += ["--seed", str(self.options.seed)]
        for service in deployment.shape.services:
            fabric += ["--service", str(deployment.service_address(service.name))]
        self.start("fabric", module, "fabric", *fabric)
        for row in deployment.rows:
            server = ["--name", row.backend_server, "--service", row.service]
            server += ["--listen", str(row.backend_server_address)]
            server += [
                "--http",
                str(deployment.server_http_address(row.backend_server)),
            ]
            self.start(
                f"server-{row.backend_server}", module, "backend-server", *server
            )

    async def wait_all_ready(self) -> None:
        """Wait until every process can do its work."""
        deployment = self.deployment
        await self.wait_ready(deployment.fabric_return)
        for row in deployment.rows:
            await self.wait_ready(deployment.server_http_address(row.backend_server))
        for name in [*self.balancers, *self.agents]:
            await self.wait_ready(deployment.http_address(name))

    async def wait_ready(self, endpoint: Endpoint) -> None:
        """Wait until a process says that it is ready."""
        with trio.fail_after(READY_TIMEOUT_MS / 1000):
            while True:
                try:
                    response = await fetch(endpoint, "/readyz", 1_000)
                    if response.status == 200:
                        return
                except HttpError:
                    pass
                self.check_processes()
                await trio.sleep(0.05)

    async def run(self) -> DemoResult:
        """Run the demo and return what happened."""
        self.start_standins()
        for name in [*self.balancers, *self.agents]:
            self.start_daemon(name)
        self.progress.say("starting", f"{len(self.processes)} processes")
        await self.wait_all_ready()
        done = trio.Event()
        async with trio.open_nursery() as nursery:
            for row in self.deployment.rows:
                for _ in range(self.options.flows_per_server):
                    seed = self.source.getrandbits(64)
                    address = row.service_address
                    caller = Caller(
                        row.service, address, random.Random(seed), self.report
                    )
                    nursery.start_soon(keep_flow, caller, REQUEST_INTERVAL_MS, done)
            await self.apply_changes()
            done.set()
        return await self.summarize()

    async def apply_changes(self) -> None:
        """Change everything that operators may change, one thing at a time."""
        await self.pause("long flows are open")
        rows = self.deployment.rows
        edited = rows[0]._replace(weight=50)
        self.deployment.write_table([edited, *rows[1:]])
        await self.pause(f"table edited: {edited.backend_server} has weight 50")
        drained = rows[1]._replace(weight=0)
        self.deployment.write_table([edited, drained, *rows[2:]])
        await self.pause(f"backend server drained: {drained.backend_server}")
        await self.stop_balancer("balancer-1")
        await self.pause("balancer stopped: balancer-1")
        self.start_daemon("balancer-4")
        await self.wait_ready(self.deployment.http_address("balancer-4"))
        self.balancers["balancer-4"] = "live"
        self.deployment.write_instances(self.balancers, self.agents)
        await self.pause("balancer joined: balancer-4")

    async def stop_balancer(self, name: str) -> None:
        """Announce that a balancer leaves, then stop it gracefully."""
        self.balancers[name] = "leaving"
        self.deployment.write_instances(self.balancers, self.agents)
        await trio.sleep(1)
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(process.wait, STOP_TIMEOUT_SECONDS)
        del self.balancers[name]
        self.deployment.write_instances(self.balancers, self.agents)

    def check_processes(self) -> None:
        """Raise ProcessEndedError when a process ended that nobody stopped."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.deployment.directory / f"{name}.log").read_text()
                raise ProcessEndedError(name, process.returncode, log)

    async def pause(self, event: str) -> None:
        """Say what happened and let traffic flow."""
        self.check_processes()
        counters = self.report.counters
        self.progress.say(event, f"requests={counters['requests']}")
        await trio.sleep(self.options.step_ms / 1000)

    async def summarize(self) -> DemoResult:
        """Gather what callers and backend servers saw."""
        self.check_processes()
        doubled = misdirected = 0
        for row in self.deployment.rows:
            endpoint = self.deployment.server_http_address(row.backend_server)
            counters = await read_counters(endpoint)
            doubled += counters.get("doubled", 0)
            misdirected += counters.get("misdirected", 0)
        seen = self.report.counters
        return DemoResult(
            seen["requests"],
            seen["answered"],
            seen["not_run"],
            seen["unanswered"],
            seen["wrong_answers"],
            seen["broken_flows"],
            doubled,
            misdirected,
            sum(self.report.flows_per_server.values()),
            round(self.find_imbalance(), 3),
        )

    def find_imbalance(self) -> float:
        """Return the most flows on a server over the mean of its service."""
        worst = 0.0
        for service in self.deployment.shape.services:
            names = [
                row.backend_server
                for row in self.deployment.rows
                if row.service == service.name
            ]
            flows = [self.report.flows_per_server[name] for name in names]
            if sum(flows):
                worst = max(worst, max(flows) * len(flows) / sum(flows))
        return worst

    def end_processes(self) -> None:
        """End every process that the demo started."""
        for process in self.processes.values():
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for process in self.processes.values():
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def read_counters(endpoint: Endpoint) -> dict[str, int]:
    """Return the counters of a backend server stand-in."""
    response = await fetch(endpoint, "/counters", 2_000)
    counters: dict[str, int] = orjson.loads(response.body)
    return counters


class ProgressLines:
    """Prints lines that begin with the seconds since the start."""

    def __init__(self) -> None:
        self.started = time.monotonic()

    def say(self, event: str, detail: str) -> None:
        """Print one line."""
        elapsed = time.monotonic() - self.started
        print(f"{elapsed:5.1f} s  {event:<46} {detail}", file=sys.stderr, flush=True)


def run_demo(shape: DeploymentShape, options: DemoOptions) -> DemoResult:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="citronwinch-demo-") as directory:
        demo = Demo(shape, Path(directory), options)
        try:
            return trio.run(demo.run)
        finally:
            demo.end_processes()
