"""What happens in the sessions of the golden files."""

from pathlib import Path

from citronwinch.coordination import FlowKey, Table
from citronwinch.coordination.requests import RequestKind
from citronwinch.coordination.tests._session import Session
from citronwinch.operators import decode_table, parse_table

EXAMPLES = Path(__file__).parents[3] / "examples"
"""The example deployments."""

GOLDEN = Path(__file__).parent / "golden"
"""The golden files."""

DEPLOYMENTS = {"derwent": ("gauging", "reporting"), "nautica": ("dock", "gallery")}
"""The deployments, each with its main and its lesser service."""

SEED = 1


def play(deployment: str) -> str:
    """Return the whole session of a deployment as text."""
    main, lesser = DEPLOYMENTS[deployment]
    table = read_table(deployment)
    zones = sorted({row.availability_zone for row in table.rows})
    balancers = {f"balancer-{i + 1}": zone for i, zone in enumerate(zones)}
    session = Session(table, balancers, SEED)
    session.lines.append(f"# A session of {deployment}: {main} and {lesser}")
    session.step("All processes come into touch; nothing is decided before that")
    session.run(10_000)
    flows = open_flows(session, main, lesser)
    meet_other_balancers(session, flows)
    copy_request(session, flows[0])
    owner = drain_owner(session, flows)
    lose_balancer(session, flows)
    shed_and_give_up(session, flows, owner)
    move_backend_server(session, flows, main, lesser)
    return session.render()


def read_table(deployment: str) -> Table:
    """Return the table of an example deployment as revision 1."""
    data = (EXAMPLES / deployment / "table.csv").read_bytes()
    table: Table = parse_table(decode_table(data).ok, 1).ok
    return table


def open_flows(session: Session, main: str, lesser: str) -> list[FlowKey]:
    """Open a few flows, each through another balancer."""
    session.step("Callers open flows; the fabric picks any balancer")
    flows = []
    for i, service in enumerate((main, main, main, lesser, lesser)):
        flow = session.open_flow(f"caller-{i + 1}", service, i)
        flows.append(flow)
        session.send(session.make_request(flow), f"balancer-{i % 3 + 1}")
        session.run(50)
    return flows


def meet_other_balancers(session: Session, flows: list[FlowKey]) -> None:
    """Send the next packet of each flow through a balancer that does not know it."""
    session.step("The next packets of the same flows come to other balancers")
    for i, flow in enumerate(flows):
        session.send(session.make_request(flow), f"balancer-{(i + 1) % 3 + 1}")
        session.run(50)


def copy_request(session: Session, flow: FlowKey) -> None:
    """Let the fabric hand over one request twice."""
    session.step("The fabric hands over two copies of a request that runs once")
    request = session.make_request(flow)
    session.send(request, "balancer-1")
    session.send(request, "balancer-3")
    session.run(50)


def drain_owner(session: Session, flows: list[FlowKey]) -> str:
    """Drain a backend server; the table reaches the processes unevenly."""
    owner = session.servers_of[flows[0]]
    session.step(f"An edit drains {owner}; it comes late to balancer-2 and {owner}")
    rows = [
        row._replace(weight=0) if row.backend_server == owner else row
        for row in session.table.rows
    ]
    session.publish(Table(2, rows), {"balancer-2": 3_000, owner: 2_000})
    session.run(500)
    for i, flow in enumerate(flows[:3]):
        session.send(session.make_request(flow), f"balancer-{i % 3 + 1}")
    session.run(4_500)
    session.step(f"Established flows stay, new ones avoid {owner}")
    service = session.table.row_by_backend_server[owner].service
    for i, flow in enumerate(flows[:1]):
        session.send(session.make_request(flow), f"balancer-{i % 3 + 1}")
    for i in range(3):
        flow = session.open_flow(f"caller-{10 + i}", service, 10 + i)
        session.send(session.make_request(flow), f"balancer-{i + 1}")
        session.run(100)
    return owner


def lose_balancer(session: Session, flows: list[FlowKey]) -> None:
    """Take a balancer away, and add one that knows nothing of the flows."""
    session.step("balancer-1 dies; its flows go on through the others")
    del session.balancers["balancer-1"]
    for i, flow in enumerate(flows):
        session.send(session.make_request(flow), f"balancer-{i % 2 + 2}")
        session.run(50)


def shed_and_give_up(session: Session, flows: list[FlowKey], owner: str) -> None:
    """Let a backend server shed, fall silent, and get a cancellation."""
    node = session.agents[owner]
    session.step(f"{owner}'s backend server sheds one request of each kind")
    for repeatable in (False, True):
        request = session.make_request(flows[0], repeatable=repeatable)
        node.sheds.add(request.metadata.request_id)
        session.send(request, "balancer-2")
        session.run(1_000)
    session.step(f"{owner}'s backend server falls silent; a deadline passes")
    node.silent = True
    request = session.make_request(flows[0], remaining_ms=300)
    session.send(request, "balancer-2")
    session.run(100)
    cancel = request.metadata._replace(kind=RequestKind.CANCEL)
    session.send(request._replace(metadata=cancel), "balancer-3")
    session.run(500)
    node.silent = False


def move_backend_server(
    session: Session, flows: list[FlowKey], main: str, lesser: str
) -> None:
    """Move a backend server from one service to the other while it holds flows."""
    moved = session.servers_of[flows[3]]
    session.step(f"An edit moves {moved} from {lesser} to {main}")
    target = session.table.rows_by_service[main][0]
    rows = [
        row._replace(
            service=main,
            protocol=target.protocol,
            service_address=target.service_address,
        )
        if row.backend_server == moved
        else row
        for row in session.table.rows
    ]
    session.publish(Table(3, rows), {"balancer-3": 1_000})
    session.run(200)
    for balancer in ("balancer-2", "balancer-3"):
        session.send(session.make_request(flows[3]), balancer)
        session.run(100)
    session.run(5_000)
    session.step("After the move the old flow still has its answer from where it was")
    session.send(session.make_request(flows[3]), "balancer-2")
    session.run(100)


def regenerate() -> None:
    """Write all golden files."""
    for deployment in DEPLOYMENTS:
        (GOLDEN / f"{deployment}.golden").write_text(play(deployment))


if __name__ == "__main__":
    regenerate()
