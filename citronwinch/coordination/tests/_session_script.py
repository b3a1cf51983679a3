"""The scripts of the sessions whose logs are the golden files."""

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
"""The two services of each deployment's session; the first gets most of the flows."""

SEED = 1


def run_session(deployment: str) -> str:
    """Run the session of a deployment and return its log as text."""
    main_service, other_service = DEPLOYMENTS[deployment]
    table = read_table(deployment)
    zones = sorted({row.availability_zone for row in table.rows})
    balancers = {f"balancer-{i + 1}": zone for i, zone in enumerate(zones)}
    session = Session(table, balancers, SEED)
    session.lines.append(
        f"# A session of {deployment}: {main_service} and {other_service}"
    )
    session.start_section(
        "All processes come into touch; nothing is decided before that"
    )
    session.run(10_000)
    flows = open_flows(session, main_service, other_service)
    use_other_balancers(session, flows)
    send_duplicate_request(session, flows[0])
    owner = drain_owner(session, flows)
    stop_balancer(session, flows)
    shed_and_cancel(session, flows, owner)
    move_backend_server(session, flows, main_service, other_service)
    return session.render()


def read_table(deployment: str) -> Table:
    """Return the table of an example deployment as revision 1."""
    data = (EXAMPLES / deployment / "table.csv").read_bytes()
    table: Table = parse_table(decode_table(data).ok, 1).ok
    return table


def open_flows(
    session: Session, main_service: str, other_service: str
) -> list[FlowKey]:
    """Open five flows, in turn through each of the three balancers."""
    session.start_section("Callers open flows; the fabric picks any balancer")
    flows = []
    for i, service in enumerate(
        (main_service, main_service, main_service, other_service, other_service)
    ):
        flow = session.make_flow(f"caller-{i + 1}", service, i)
        flows.append(flow)
        session.send_request(session.make_request(flow), f"balancer-{i % 3 + 1}")
        session.run(50)
    return flows


def use_other_balancers(session: Session, flows: list[FlowKey]) -> None:
    """Send a request of each flow through a balancer that does not know the flow."""
    session.start_section("The next packets of the same flows come to other balancers")
    for i, flow in enumerate(flows):
        session.send_request(session.make_request(flow), f"balancer-{(i + 1) % 3 + 1}")
        session.run(50)


def send_duplicate_request(session: Session, flow: FlowKey) -> None:
    """Deliver one request twice, through two balancers."""
    session.start_section(
        "The fabric hands over two copies of a request that runs once"
    )
    request = session.make_request(flow)
    session.send_request(request, "balancer-1")
    session.send_request(request, "balancer-3")
    session.run(50)


def drain_owner(session: Session, flows: list[FlowKey]) -> str:
    """Drain the owner of the first flow, with delays of the table at two processes."""
    owner = session.owner_by_flow[flows[0]]
    session.start_section(
        f"An edit drains {owner}; it comes late to balancer-2 and {owner}"
    )
    rows = [
        row._replace(weight=0) if row.backend_server == owner else row
        for row in session.table.rows
    ]
    session.publish(Table(2, rows), {"balancer-2": 3_000, owner: 2_000})
    session.run(500)
    for i, flow in enumerate(flows[:3]):
        session.send_request(session.make_request(flow), f"balancer-{i % 3 + 1}")
    session.run(4_500)
    session.start_section(f"Established flows stay, new ones avoid {owner}")
    service = session.table.row_by_backend_server[owner].service
    for i, flow in enumerate(flows[:1]):
        session.send_request(session.make_request(flow), f"balancer-{i % 3 + 1}")
    for i in range(3):
        flow = session.make_flow(f"caller-{10 + i}", service, 10 + i)
        session.send_request(session.make_request(flow), f"balancer-{i + 1}")
        session.run(100)
    return owner


def stop_balancer(session: Session, flows: list[FlowKey]) -> None:
    """Stop a balancer; the remaining balancers forward the packets of its flows."""
    session.start_section("balancer-1 dies; its flows go on through the others")
    del session.balancers["balancer-1"]
    for i, flow in enumerate(flows):
        session.send_request(session.make_request(flow), f"balancer-{i % 2 + 2}")
        session.run(50)


def shed_and_cancel(session: Session, flows: list[FlowKey], owner: str) -> None:
    """Make a backend server shed requests, then stop answering; cancel a request."""
    node = session.agents[owner]
    session.start_section(f"{owner}'s backend server sheds one request of each kind")
    for repeatable in (False, True):
        request = session.make_request(flows[0], repeatable=repeatable)
        node.shed_request_ids.add(request.metadata.request_id)
        session.send_request(request, "balancer-2")
        session.run(1_000)
    session.start_section(f"{owner}'s backend server falls silent; a deadline passes")
    node.is_silent = True
    request = session.make_request(flows[0], remaining_ms=300)
    session.send_request(request, "balancer-2")
    session.run(100)
    cancel = request.metadata._replace(kind=RequestKind.CANCEL)
    session.send_request(request._replace(metadata=cancel), "balancer-3")
    session.run(500)
    node.is_silent = False


def move_backend_server(
    session: Session, flows: list[FlowKey], main_service: str, other_service: str
) -> None:
    """Move a backend server to the other service while it owns a flow."""
    moved_server = session.owner_by_flow[flows[3]]
    session.start_section(
        f"An edit moves {moved_server} from {other_service} to {main_service}"
    )
    target_row = session.table.rows_by_service[main_service][0]
    rows = [
        row._replace(
            service=main_service,
            protocol=target_row.protocol,
            service_address=target_row.service_address,
        )
        if row.backend_server == moved_server
        else row
        for row in session.table.rows
    ]
    session.publish(Table(3, rows), {"balancer-3": 1_000})
    session.run(200)
    for balancer in ("balancer-2", "balancer-3"):
        session.send_request(session.make_request(flows[3]), balancer)
        session.run(100)
    session.run(5_000)
    session.start_section(
        "After the move the old flow still has its answer from where it was"
    )
    session.send_request(session.make_request(flows[3]), "balancer-2")
    session.run(100)


def regenerate() -> None:
    """Overwrite all golden files with the current logs."""
    for deployment in DEPLOYMENTS:
        (GOLDEN / f"{deployment}.golden").write_text(run_session(deployment))


if __name__ == "__main__":
    regenerate()
