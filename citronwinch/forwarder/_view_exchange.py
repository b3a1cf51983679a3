"""Updates a balancer's view from the store and from other balancers."""

import random
from typing import TYPE_CHECKING

import structlog
import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    UNKNOWN_POSITION,
    Heartbeat,
    ListingDifference,
    StorePosition,
    ViewAnswer,
    ViewOffer,
    ViewOffers,
    choose_view_source,
    compute_read_age_ms,
    compute_read_retry_ms,
    compute_read_turn,
    list_view_sources,
)
from citronwinch.flow_peers import (
    decode_compressed_view,
    decode_view,
)
from citronwinch.forwarder._configuration_watch import ConfigurationWatch
from citronwinch.forwarder._view_requests import (
    COMPRESSED_TYPE,
    FETCH_TIMEOUT_MS,
    VIEW_PATH,
)
from citronwinch.forwarder._view_server import ViewServer
from citronwinch.network import (
    HttpError,
    MalformedMessageError,
    fetch,
    serve,
)
from citronwinch.platform import StoreClient, StoreError

if TYPE_CHECKING:
    from citronwinch.forwarder._balancer_process import BalancerProcess

READ_RETRY_JITTER = (0.7, 1.3)
"""The range of a random factor on the time until a failed read is repeated, so that
balancers whose reads failed together do not repeat them together."""

FETCH_RETRY_DELAY_S = (0.02, 0.08)
"""The shortest and longest delay after an unsuccessful fetch, in seconds. The delay is
random, so that balancers that were refused together do not retry together."""

CATCH_UP_TIMEOUT_MS = 1_000
"""How long a balancer fetches from other balancers before it reads the configuration
from the store, in milliseconds: a third of the shortest time within which a balancer
must apply a new configuration."""

LOGGED_ENTRIES_LIMIT = 8
"""The most entries of one kind that a log line names."""

log = structlog.get_logger()


class ViewExchange:
    """Runs the tasks that read the store, serve the view and fetch it from balancers.

    A balancer reads the listing from the store when the listing is older than the
    limit for the balancer's turn. It then announces its view, and balancers whose view
    differs fetch it. If the store refuses a balancer, the balancer with the next turn
    takes its place without any coordination, because the listing becomes too old for
    that balancer as well.
    """

    def __init__(self, process: "BalancerProcess") -> None:
        self.process = process
        self.view = process.view
        self.clock = process.clock
        assert process.settings.store_address is not None
        self.store = StoreClient(process.settings.store_address)
        self.is_reading_listing = False
        self.is_store_lost = False
        self.listing_retry_at_ms = 0
        self.configuration_watch = ConfigurationWatch(self)
        self.is_catching_up = False
        self.retained_sources: set[str] = set()
        self.rng = random.Random(process.settings.name)
        self.offers = ViewOffers(self.clock, self.rng)
        self.server = ViewServer(self.view, process.settings.link_mbps)
        self.rejected_entries: tuple[str, ...] = ()

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start serving the view and watching the configuration in the store."""
        self.nursery = nursery
        endpoint = self.process.make_peer_endpoint(self.process.settings.ip)
        nursery.start_soon(serve, endpoint, self.server.answer)
        nursery.start_soon(
            self.process.internal_errors.run_forever,
            "watch configuration",
            self.configuration_watch.run,
        )

    def set_store_address(self, address: Endpoint) -> None:
        """Call the store at an address from now on.

        A watch that waits at the former address is ended: that address may not serve
        changes any more, and nothing tells when it ends. Calls under way are answered.
        """
        if address == self.store.address:
            return
        log.info("store_moved", former=str(self.store.address), address=str(address))
        self.store.address = address
        self.listing_retry_at_ms = 0
        self.configuration_watch.watch_scope.cancel()

    def tick(self) -> None:
        """Read the store when it is this balancer's turn."""
        if self.is_reading_listing or self.clock.now_ms() < self.listing_retry_at_ms:
            return
        age_ms = self.view.age_ms
        if age_ms is None or age_ms >= self._compute_read_age_ms(age_ms):
            self.is_reading_listing = True
            self.nursery.start_soon(self._run_listing_read)

    def _compute_read_age_ms(self, age_ms: int) -> int:
        """Return the age of the listing at which this balancer reads it again."""
        expects_servers = self.view.expects_servers()
        earliest_ms = compute_read_age_ms(0, expects_servers=expects_servers)
        if age_ms < earliest_ms:
            return earliest_ms
        members = self.process.members.list_live()
        turn = compute_read_turn(self.process.settings.ip, members)
        return compute_read_age_ms(turn, expects_servers=expects_servers)

    async def _run_listing_read(self) -> None:
        errors = self.process.internal_errors
        if not await errors.run_task("read listing", self._read_listing):
            self._delay_listing_read()
        self.is_reading_listing = False

    def _delay_listing_read(self) -> None:
        """Set when a failed read of the listing is repeated."""
        balancers = 1 + len(self.process.members.members)
        retry_ms = compute_read_retry_ms(balancers)
        jitter = self.rng.uniform(*READ_RETRY_JITTER)
        self.listing_retry_at_ms = self.clock.now_ms() + round(retry_ms * jitter)

    async def _read_listing(self) -> None:
        requested_ms = self.clock.now_ms()
        result = await self.store.read_servers()
        self.process.metrics.set_gauge("store_calls", self.store.calls)
        if result.is_error():
            self._delay_listing_read()
            self.record_read_failure(result.error)
            return
        self.record_read_success()
        self.configuration_watch.record_listing_read()
        if result.ok.rejected != self.rejected_entries:
            self.rejected_entries = result.ok.rejected
            entries = list(self.rejected_entries[:LOGGED_ENTRIES_LIMIT])
            log.warning("entries_ignored", entries=entries)
        if self.view.accept_listing(result.ok.listing, requested_ms):
            self.log_listing("store")
        self.process.handle_early_packets()
        self.process.announce_view()

    def record_read_failure(self, error: StoreError) -> None:
        """Count a failed read of the store, and log the first of several."""
        self.process.metrics.count("store_errors_total", error.step)
        self.view.mark_read_failed()
        if not self.is_store_lost:
            self.is_store_lost = True
            log.warning(
                "store_lost",
                step=error.step,
                store=str(error.peer),
                reason=error.reason,
                view_age_ms=self.view.age_ms,
            )

    def record_read_success(self) -> None:
        """Log the first successful read of the store after failed ones."""
        if self.is_store_lost:
            self.is_store_lost = False
            log.info("store_regained", view_age_ms=self.view.age_ms)

    def log_listing(self, source: str) -> None:
        """Log that the listing of backend servers has changed."""
        servers = self.view.listing.servers
        log.info(
            "listing_changed",
            source=source,
            era=self.view.listing.position.era,
            revision=self.view.listing.position.revision,
            servers=len(servers),
            leaving=[name for name, server in servers.items() if server.state],
            kept=sorted(self.view.retained),
            unnamed=list(self.view.listed.unnamed[:LOGGED_ENTRIES_LIMIT]),
            superseded=list(self.view.listed.superseded[:LOGGED_ENTRIES_LIMIT]),
        )

    def handle_newer_configuration(self, source: str) -> None:
        """Announce the configuration that the view has just accepted from a source."""
        configuration = self.view.configuration
        assert configuration is not None
        self.configuration_watch.has_configuration.set()
        self.process.metrics.set_gauge("configuration_version", configuration.version)
        log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )
        self.process.handle_early_packets()
        self.process.announce_view()

    def handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        """Compare the sender's view with this balancer's view.

        Adopt the sender's confirmations of the configuration and the listing, and its
        grace time. Start to fetch views if this balancer's view lacks a listing, a
        configuration or, in the grace time after an outage of the store, retained
        servers.
        """
        view = self.view
        version = view.configuration.version if view.configuration else 0
        view.confirm_configuration(
            heartbeat.configuration_version, heartbeat.configuration_position
        )
        lacks_listing = heartbeat.listing_position > view.listing.position
        was_outside_grace = view.remaining_grace_ms == 0
        view.accept_grace(heartbeat.remaining_grace_ms)
        # If the heartbeat has just started this balancer's grace time after an outage
        # of the store, the sender may retain servers that have not registered again
        # yet. Its view is fetched, because only the view contains them.
        may_lack_retained = was_outside_grace and view.remaining_grace_ms > 0
        if (
            heartbeat.listing_position >= view.listing.position
            and heartbeat.listing_digest == view.listing_digest
        ):
            confirmed_ms = self.clock.now_ms() - heartbeat.listing_age_ms
            view.confirm_listing(heartbeat.listing_position, confirmed_ms)
            lacks_listing = False
        if may_lack_retained:
            self.retained_sources.add(sender)
        lacks_configuration = heartbeat.configuration_version > version
        lacks_former = view.former_knowledge.record_heartbeat(heartbeat, sender)
        lacks_servers = lacks_listing or may_lack_retained or lacks_former
        if (lacks_servers or lacks_configuration) and not self.is_catching_up:
            self.is_catching_up = True
            run_task = self.process.internal_errors.run_task
            self.nursery.start_soon(run_task, "fetch views", self._catch_up)

    async def _catch_up(self) -> None:
        """Fetch views from one balancer at a time until the own view is up to date.

        All balancers need a new configuration at the same moment, and their links are
        slow. The balancer that has read it serves only a few balancers at a time, and
        these serve the rest. A balancer that is still behind after
        `CATCH_UP_TIMEOUT_MS` reads the store.
        """
        fetching_since_ms = self.clock.now_ms()
        failed: set[str] = set()
        try:
            while source := self._choose_source(failed):
                await self._fetch_view(source)
                if self._is_source(source):
                    failed.add(source)
                    await trio.sleep(self.rng.uniform(*FETCH_RETRY_DELAY_S))
                if self.clock.now_ms() - fetching_since_ms > CATCH_UP_TIMEOUT_MS:
                    fetching_since_ms = self.clock.now_ms()
                    failed.clear()
                    await self.configuration_watch.read_configuration()
        finally:
            self.is_catching_up = False

    def _is_source(self, ip: str) -> bool:
        """Return whether a balancer still has something that the own view lacks."""
        members = self.process.members.members
        is_former_source = ip in self.view.former_knowledge.sources and ip in members
        return is_former_source or ip in list_view_sources(self.view, members)

    def _choose_source(self, failed: set[str]) -> str | None:
        members = self.process.members.members
        sources = {*list_view_sources(self.view, members), *self.retained_sources}
        former_sources = self.view.former_knowledge.sources & members.keys()
        sources = sources & members.keys() | former_sources
        if sources and sources <= failed:
            failed.clear()
        # Former servers come first: searches for flows wait for them.
        sources = former_sources - failed or sources
        zone = self.process.settings.availability_zone
        return choose_view_source(sources - failed, members, zone, self.rng)

    def handle_offer(self, offer: ViewOffer, agent: str) -> None:
        """Record an agent's copy of the view; fetch it if it is needed."""
        self.offers.record(agent, offer)
        if not self.is_catching_up and self._choose_copy() is not None:
            self.is_catching_up = True
            run_task = self.process.internal_errors.run_task
            self.nursery.start_soon(run_task, "fetch view copies", self._fetch_copies)

    def _choose_copy(self) -> str | None:
        return self.offers.choose(self.view, is_store_lost=self.is_store_lost)

    async def _fetch_copies(self) -> None:
        """Fetch copies of agents, one at a time, while one is newer than the view."""
        try:
            while agent := self._choose_copy():
                age_ms = self.offers.compute_age_ms(agent)
                self.process.metrics.count("view_copies_fetched_total")
                await self._fetch_view(agent, age_ms)
                self.offers.remove(agent)
        finally:
            self.is_catching_up = False

    async def _fetch_view(self, ip: str, listing_age_ms: int | None = None) -> None:
        """Fetch a view from another process and merge it into the own view.

        `listing_age_ms` is the age of the listing if the answer does not state it, as
        that of an agent, which has the view as it was when the agent received it.
        """
        version = self.view.configuration.version if self.view.configuration else 0
        self.retained_sources.discard(ip)
        asks_former = ip in self.view.former_knowledge.sources
        endpoint = self.process.make_peer_endpoint(ip)
        requested_ms = self.clock.now_ms()
        try:
            # The whole listing shows which servers the source has not seen leave yet.
            digest = 0 if asks_former else self.view.listing_digest
            former = "&former=1" if asks_former else ""
            target = f"{VIEW_PATH}?after={version}&listing={digest}&routes=1{former}"
            response = await fetch(endpoint, target, FETCH_TIMEOUT_MS)
            if response.status != 200:
                self.process.metrics.count("view_fetches_put_off_total")
                return
            is_compressed = response.content_type == COMPRESSED_TYPE
            decode = decode_compressed_view if is_compressed else decode_view
            answer = decode(response.body)
        except (HttpError, MalformedMessageError) as error:
            self.process.metrics.count("view_fetch_errors_total")
            log.info("view_not_fetched", balancer=ip, reason=str(error))
            return
        configuration = answer.configuration
        is_newer = configuration is not None and self.view.accept_configuration(
            configuration
        )
        if listing_age_ms is None:
            self.view.accept_route_history(
                answer.configuration_version,
                answer.former_routes,
                answer.routes_known_for_ms,
            )
        if asks_former:
            known_for_ms = answer.former_known_for_ms
            listed = answer.listing.servers.values()
            self.view.accept_former(answer.former, ip, known_for_ms, listed)
            log.info(
                "former_servers_learned",
                source=ip,
                servers=len(answer.former),
                known_for_ms=known_for_ms,
                routes_known_for_ms=self.view.route_history.known_for_ms,
            )
        if is_newer:
            self.handle_newer_configuration(ip)
        self.view.confirm_configuration(
            answer.configuration_version, self._find_watchable_position(ip, answer)
        )
        if answer.listing.position != UNKNOWN_POSITION:
            if listing_age_ms is None:
                listing_age_ms = answer.listing_age_ms
            confirmed_ms = requested_ms - listing_age_ms
            if self._accept_listing(answer, confirmed_ms):
                self.log_listing(ip)
            view = self.view
            view.accept_grace(view.remaining_grace_ms, answer.retained)
            self.process.handle_early_packets()

    def _find_watchable_position(self, ip: str, answer: ViewAnswer) -> StorePosition:
        """Return the position of a view from which a watch misses no evacuation.

        Heartbeats carry the evacuations up to the position that they state; views do
        not.
        """
        member = self.process.members.members.get(ip)
        if member is None:
            return UNKNOWN_POSITION
        stated = member.heartbeat.configuration_position
        return min(stated, answer.configuration_position)

    def _accept_listing(self, answer: ViewAnswer, confirmed_ms: int) -> bool:
        """Accept the listing of a view, whole or as a difference to the own one."""
        listing = answer.listing
        if not answer.base_digest:
            return self.view.accept_listing(listing, confirmed_ms)
        difference = ListingDifference(listing.servers, answer.removed)
        return self.view.apply_listing_difference(
            answer.base_digest, difference, listing.position, confirmed_ms
        )
