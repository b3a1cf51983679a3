"""Answers other processes that fetch the view of a balancer."""

from citronwinch.coordination.flows import (
    DeploymentView,
    ViewAnswer,
    ViewAnswerPacing,
)
from citronwinch.flow_peers import ViewEncoder, compress_view
from citronwinch.forwarder._view_requests import COMPRESSED_TYPE
from citronwinch.network import HttpRequest, HttpResponse


class ViewServer:
    """Encodes the view for those that ask for it, as far as the link allows."""

    def __init__(self, view: DeploymentView, link_mbps: int) -> None:
        self.view = view
        self.encoder = ViewEncoder()
        self.pacing = ViewAnswerPacing(view.clock, link_mbps)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Return the view, without what the requester has."""
        after = request.query.get("after", "0")
        known_version = int(after) if after.isdigit() else 0
        view = self.view
        configuration = view.configuration
        version = configuration.version if configuration is not None else 0
        if version <= known_version:
            configuration = None
        age_ms = view.age_ms
        asks_former = "former" in request.query
        # Agents, whose copies grow old, do not ask for it.
        needs_routes = asks_former or (
            configuration is not None and "routes" in request.query
        )
        history = view.route_history
        retained = tuple(view.retained.values())
        answer = ViewAnswer(
            view.listing,
            min(age_ms or 0, 0xFFFFFFFF),
            configuration,
            retained,
            version,
            view.configuration_position,
            former=view.former.list_departed() if asks_former else (),
            former_known_for_ms=view.former_knowledge.known_for_ms,
            former_routes=history.list_former_routes() if needs_routes else (),
            routes_known_for_ms=history.known_for_ms if needs_routes else 0,
        )
        # A balancer of an earlier version neither states its listing nor accepts a
        # compressed view.
        digest = request.query.get("listing", "")
        content_type = "application/octet-stream"
        if digest.isdecimal():
            content_type = COMPRESSED_TYPE
            # An agent, which keeps whole copies, states no listing of its own.
            if int(digest):
                answer = self._shorten(answer, int(digest))
        encoded = self.encoder.encode(answer)
        if content_type == COMPRESSED_TYPE:
            encoded = compress_view(encoded)
        if not self.pacing.admit(len(encoded)):
            return HttpResponse(503, b'{"error":"ask another balancer"}')
        return HttpResponse(200, encoded, content_type)

    def _shorten(self, answer: ViewAnswer, base_digest: int) -> ViewAnswer:
        """Replace the listing by the difference to one that the requester has."""
        difference = self.view.history.make_difference(
            base_digest, answer.listing.servers
        )
        if difference is None:
            return answer
        return answer._replace(
            listing=answer.listing._replace(servers=difference.changed),
            base_digest=base_digest,
            removed=difference.removed,
        )
