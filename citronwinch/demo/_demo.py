"""Runs a deployment on loopback and applies operators' changes under traffic."""

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
from citronwinch.demo._callers import Caller, CallerReport, run_flow
from citronwinch.demo._deployment import Deployment, DeploymentShape
from citronwinch.demo._ports import choose_base_port
from citronwinch.network import HttpError, fetch

READY_TIMEOUT_MS = 30_000
"""How long a process may take to become ready, in milliseconds."""

REQUEST_INTERVAL_MS = 250
"""The mean time between two requests of a flow, in milliseconds."""

STOP_TIMEOUT_S = 5
"""How long all processes together may take to exit at the end, in seconds."""

LOG_TAIL_LINES = 12
"""The number of last log lines that are shown when a process exits unexpectedly."""


class DemoOptions(NamedTuple):
    """The parameters of the demo."""

    seed: int = 1
    """The seed of the fabric's choice of balancers and of the callers' randomness."""

    base_port: int = 0
    """The first of the consecutive ports that are used; 0 chooses free ports."""

    flows_per_server: int = 8
    """The number of long-lived flows for each backend server."""

    step_ms: int = 4_000
    """The time between two changes, in milliseconds."""


class DemoResult(NamedTuple):
    """The outcome of the demo, counted by callers and backend servers."""

    requests: int
    """The number of requests sent."""

    answered: int
    """The number of requests whose complete answer arrived."""

    not_run: int
    """The number of requests whose caller was notified that they were not run."""

    unanswered: int
    """The number of requests without a complete answer before the timeout."""

    wrong_answers: int
    """The number of answers that were incomplete or belonged to another request."""

    broken_flows: int
    """The number of established flows that changed backend server or got no answer."""

    doubled: int
    """The number of requests that ran more than once."""

    misdirected: int
    """The number of requests that ran at a backend server of another service."""

    flows: int
    """The number of long-lived flows that were established."""

    imbalance: float
    """The most flows on a backend server divided by the mean of its service, for the
    service where this ratio is largest."""


class ProcessEndedError(Exception):
    """A process of the demo exited unexpectedly; the message has its last log lines."""

    def __init__(self, name: str, exit_code: int, log: str) -> None:
        lines = "\n".join(log.splitlines()[-LOG_TAIL_LINES:])
        super().__init__(f"{name} ended with exit code {exit_code}:\n{lines}")


class Demo:
    """Starts all processes, applies changes under traffic, and ends all processes."""

    def __init__(
        self, shape: DeploymentShape, directory: Path, options: DemoOptions
    ) -> None:
        self.options = options
        base_port = choose_base_port(options.base_port)
        self.deployment = Deployment(shape, directory, base_port)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        """The running processes by name, except those that the demo has stopped."""
        self.balancers = {f"balancer-{i}": "live" for i in (1, 2, 3)}
        """The state of each balancer in the list of instances, by name."""
        self.agents = {row.backend_server: "live" for row in self.deployment.rows}
        """The state of each agent in that list, by the name of its backend server."""
        self.report = CallerReport()
        self.progress = ProgressPrinter()
        self.rng = random.Random(options.seed)

    def start(self, name: str, *arguments: str) -> None:
        """Start a process that logs to a file next to its settings."""
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
        """Start the stand-ins for the platform, the fabric and the backend servers."""
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
        """Wait until the fabric, backend servers, balancers and agents are ready."""
        deployment = self.deployment
        await self.wait_ready(deployment.fabric_return)
        for row in deployment.rows:
            await self.wait_ready(deployment.server_http_address(row.backend_server))
        for name in [*self.balancers, *self.agents]:
            await self.wait_ready(deployment.http_address(name))

    async def wait_ready(self, endpoint: Endpoint) -> None:
        """Wait until a process reports that it is ready."""
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
        """Run the demo and return its outcome."""
        self.start_standins()
        for name in [*self.balancers, *self.agents]:
            self.start_daemon(name)
        self.progress.print_line("starting", f"{len(self.processes)} processes")
        await self.wait_all_ready()
        stop_event = trio.Event()
        async with trio.open_nursery() as nursery:
            for row in self.deployment.rows:
                for _ in range(self.options.flows_per_server):
                    seed = self.rng.getrandbits(64)
                    address = row.service_address
                    caller = Caller(
                        row.service, address, random.Random(seed), self.report
                    )
                    nursery.start_soon(
                        run_flow, caller, REQUEST_INTERVAL_MS, stop_event
                    )
            await self.apply_changes()
            stop_event.set()
        return await self.summarize()

    async def apply_changes(self) -> None:
        """Edit the table, drain a backend server, stop a balancer, then add one."""
        await self.report_and_wait("long flows are open")
        rows = self.deployment.rows
        edited_row = rows[0]._replace(weight=50)
        self.deployment.write_table([edited_row, *rows[1:]])
        await self.report_and_wait(
            f"table edited: {edited_row.backend_server} has weight 50"
        )
        drained_row = rows[1]._replace(weight=0)
        self.deployment.write_table([edited_row, drained_row, *rows[2:]])
        await self.report_and_wait(
            f"backend server drained: {drained_row.backend_server}"
        )
        await self.stop_balancer("balancer-1")
        await self.report_and_wait("balancer stopped: balancer-1")
        self.start_daemon("balancer-4")
        await self.wait_ready(self.deployment.http_address("balancer-4"))
        self.balancers["balancer-4"] = "live"
        self.deployment.write_instances(self.balancers, self.agents)
        await self.report_and_wait("balancer joined: balancer-4")

    async def stop_balancer(self, name: str) -> None:
        """List a balancer as leaving, then stop it gracefully."""
        self.balancers[name] = "leaving"
        self.deployment.write_instances(self.balancers, self.agents)
        await trio.sleep(1)
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        await trio.to_thread.run_sync(process.wait, STOP_TIMEOUT_S)
        del self.balancers[name]
        self.deployment.write_instances(self.balancers, self.agents)

    def check_processes(self) -> None:
        """Raise ProcessEndedError if a process exited that the demo did not stop."""
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.deployment.directory / f"{name}.log").read_text()
                raise ProcessEndedError(name, process.returncode, log)

    async def report_and_wait(self, event: str) -> None:
        """Print an event, then wait while traffic continues."""
        self.check_processes()
        counters = self.report.counters
        self.progress.print_line(event, f"requests={counters['requests']}")
        await trio.sleep(self.options.step_ms / 1000)

    async def summarize(self) -> DemoResult:
        """Return the outcome from the counters of callers and backend servers."""
        self.check_processes()
        doubled = misdirected = 0
        for row in self.deployment.rows:
            endpoint = self.deployment.server_http_address(row.backend_server)
            counters = await read_counters(endpoint)
            doubled += counters.get("doubled", 0)
            misdirected += counters.get("misdirected", 0)
        caller_counters = self.report.counters
        return DemoResult(
            caller_counters["requests"],
            caller_counters["answered"],
            caller_counters["not_run"],
            caller_counters["unanswered"],
            caller_counters["wrong_answers"],
            caller_counters["broken_flows"],
            doubled,
            misdirected,
            sum(self.report.flows_per_server.values()),
            round(self.compute_imbalance(), 3),
        )

    def compute_imbalance(self) -> float:
        """Return the imbalance of the service where it is largest.

        It is the most flows on a backend server divided by the mean of the service.
        """
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
        """Terminate all processes; kill those that do not exit in time."""
        for process in self.processes.values():
            process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.0, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


async def read_counters(endpoint: Endpoint) -> dict[str, int]:
    """Return the counters of a backend server stand-in."""
    response = await fetch(endpoint, "/counters", 2_000)
    counters: dict[str, int] = orjson.loads(response.body)
    return counters


class ProgressPrinter:
    """Prints progress lines that start with the elapsed time in seconds."""

    def __init__(self) -> None:
        self.started_s = time.monotonic()

    def print_line(self, event: str, detail: str) -> None:
        """Print a line for an event."""
        elapsed_s = time.monotonic() - self.started_s
        print(f"{elapsed_s:5.1f} s  {event:<46} {detail}", file=sys.stderr, flush=True)


def run_demo(shape: DeploymentShape, options: DemoOptions) -> DemoResult:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="citronwinch-demo-") as directory:
        demo = Demo(shape, Path(directory), options)
        try:
            return trio.run(demo.run)
        finally:
            demo.end_processes()
