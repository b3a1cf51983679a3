"""Keeps a balancer's view current: from the store, or from balancers that read it."""

import random
from typing import TYPE_CHECKING

import structlog
import trio

from citronwinch.coordination.flows import (
    RETRY_MS,
    AnswerPacing,
    Configuration,
    Heartbeat,
    ViewAnswer,
    choose_source,
    compute_read_age_ms,
    compute_read_turn,
    compute_transfer_ms,
    list_sources,
)
from citronwinch.flow_peers import ViewEncoder, decode_view
from citronwinch.network import (
    HttpError,
    HttpRequest,
    HttpResponse,
    MalformedMessageError,
    fetch,
    serve,
)
from citronwinch.platform import ConfigurationRead, StoreClient, StoreError

if TYPE_CHECKING:
    from citronwinch.forwarder._balancer_process import BalancerProcess

VIEW_PATH = "/view"
"""Where a balancer serves its view to other balancers."""

WATCH_MS = 2_000
"""How long one watch waits, in milliseconds. A watch whose connection has gone silent
delays a change by this much, within the shortest time to apply one."""

WATCH_PAUSE_S = 0.1
"""How long after a failed watch the next one begins, in seconds; each is priced."""

FETCH_TIMEOUT_MS = 600
"""How long another balancer may take to send its view, in milliseconds."""

FETCH_PAUSE_S = (0.02, 0.08)
"""How long a balancer waits before it asks another one, in seconds; drawn, so that
those that were turned away together do not come again together."""

CATCH_UP_MS = 1_000
"""After so many milliseconds without the newest configuration a balancer reads the
store; a third of the shortest time in which it must be in force."""

READER_MS = 2_000
"""How long after its last own read a balancer counts as a reader of the store."""

log = structlog.get_logger()


class ViewExchange:
    """The tasks that read the store, serve the view, and fetch it from others.

    Whoever in turn finds the listing too old reads it and tells the others; they fetch
    what differs. A reader that the store refuses is replaced by the next in turn
    without any agreement, since the listing then grows old for it, too.
    """

    def __init__(self, process: "BalancerProcess") -> None:
        self.process = process
        self.view = process.view
        self.clock = process.clock
        assert process.settings.store_address is not None
        self.store = StoreClient(process.settings.store_address)
        self.is_reading = False
        self.is_store_lost = False
        self.retry_ms = 0
        self.own_read_ms = -READER_MS
        self.transfer_ms = compute_transfer_ms(process.settings.link_mbps)
        self.has_configuration = trio.Event()
        self.is_catching_up = False
        self.wants_retained: set[str] = set()
        self.rng = random.Random(process.settings.name)
        self.encoder = ViewEncoder()
        self.pacing = AnswerPacing(self.clock, process.settings.link_mbps)
        self.rejected: tuple[str, ...] = ()

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start reading, watching, fetching and serving."""
        self.nursery = nursery
        endpoint = self.process.find_peer_endpoint(self.process.settings.ip)
        nursery.start_soon(serve, endpoint, self._answer_view)
        nursery.start_soon(self._watch_configuration)

    def tick(self) -> None:
        """Read the store when it is this balancer's turn."""
        if self.is_reading or self.clock.now_ms() < self.retry_ms:
            return
        age_ms = self.view.age_ms
        turn = compute_read_turn(
            self.process.settings.ip, self.process.members.list_live()
        )
        if age_ms is None or age_ms >= compute_read_age_ms(turn):
            self.is_reading = True
            self.nursery.start_soon(self._read_servers)

    async def _read_servers(self) -> None:
        asked_ms = self.clock.now_ms()
        answer = await self.store.read_servers()
        self.is_reading = False
        self.process.metrics.set_gauge("store_calls", self.store.calls)
        if answer.is_error():
            self.retry_ms = self.clock.now_ms() + RETRY_MS
            self._note_failure(answer.error)
            return
        self._note_success()
        self.own_read_ms = self.clock.now_ms()
        if answer.ok.rejected != self.rejected:
            self.rejected = answer.ok.rejected
            log.warning("entries_ignored", entries=list(self.rejected[:8]))
        if self.view.accept_listing(answer.ok.listing, asked_ms):
            self.log_listing("store")
        self.process.handle_early_packets()
        self.process.announce_view()

    def _note_failure(self, error: StoreError) -> None:
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

    def _note_success(self) -> None:
        if self.is_store_lost:
            self.is_store_lost = False
            log.info("store_regained", view_age_ms=self.view.age_ms)

    def log_listing(self, source: str) -> None:
        """Log that the backend servers have changed."""
        servers = self.view.listing.servers
        log.info(
            "listing_changed",
            source=source,
            revision=self.view.listing.revision,
            servers=len(servers),
            leaving=[name for name, server in servers.items() if server.state],
            kept=sorted(self.view.retained),
        )

    async def _watch_configuration(self) -> None:
        await self._await_first_configuration()
        while True:
            if self._is_reader():
                await self._watch_once()
            else:
                await trio.sleep(0.05)

    async def _await_first_configuration(self) -> None:
        """Read the configuration unless another balancer has told it before.

        On a thin link the others come first: they send it compressed, and the store's
        answer would hold up callers' packets for most of a second.
        """
        with trio.move_on_after(self.transfer_ms / 1000):
            await self.has_configuration.wait()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_until_known)
            await self.has_configuration.wait()
            nursery.cancel_scope.cancel()

    async def _read_until_known(self) -> None:
        while True:
            await self._read_configuration()
            await trio.sleep(RETRY_MS / 1000)

    def _is_reader(self) -> bool:
        return self.clock.now_ms() - self.own_read_ms < READER_MS

    async def _read_configuration(self) -> None:
        answer = await self.store.read_configuration(2 * self.transfer_ms)
        if answer.is_error():
            self._note_failure(answer.error)
            return
        self._note_success()
        self._take_over(answer.ok)

    def _take_over(self, read: ConfigurationRead) -> None:
        """Use what the store has told, and note up to which revision it is true."""
        known = self.view.configuration
        self._accept_configuration(read.configuration, "store")
        version = read.configuration.version if read.configuration else None
        if version is None and known is not None:
            version = known.version
        if version is not None:
            self.view.confirm_configuration(version, read.revision)

    async def _watch_once(self) -> None:
        """Wait for a change after the revision up to which the configuration is known.

        A watch that was cut goes on from there; only when the store has forgotten that
        part of its history, the configuration is read whole.
        """
        revision = self.view.configuration_revision
        if not revision:
            await self._learn_revision()
            return
        answer = await self.store.watch_configuration(revision, WATCH_MS)
        if answer.is_error():
            if not answer.error.is_temporary:
                self.view.configuration_revision = 0
            self.process.metrics.count("store_errors_total", answer.error.step)
            log.info("watch_ended", reason=answer.error.reason)
            await trio.sleep(WATCH_PAUSE_S)
            return
        self._take_over(answer.ok)

    async def _learn_revision(self) -> None:
        """Wait until others tell up to which revision the configuration is the newest.

        Otherwise read it whole, on a wide link at once, on a thin one after the time
        that the read would take.
        """
        deadline_ms = self.clock.now_ms() + 2 * self.transfer_ms
        while self.clock.now_ms() < deadline_ms:
            await trio.sleep(WATCH_PAUSE_S / 2)
            if self.view.configuration_revision:
                return
        await self._read_configuration()
        if not self.view.configuration_revision:
            await trio.sleep(RETRY_MS / 1000)

    def _accept_configuration(
        self, configuration: Configuration | None, source: str
    ) -> None:
        if configuration is None or not self.view.accept_configuration(configuration):
            return
        self.has_configuration.set()
        self.process.metrics.set_gauge("configuration_version", configuration.version)
        log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            source=source,
        )
        self.process.handle_early_packets()
        self.process.announce_view()

    def hear(self, heartbeat: Heartbeat, sender: str) -> None:
        """Compare what another balancer knows, and fetch what is missing here."""
        view = self.view
        version = view.configuration.version if view.configuration else 0
        view.confirm_configuration(
            heartbeat.configuration_version, heartbeat.configuration_revision
        )
        is_newer = heartbeat.revision > view.listing.revision
        was_settled = view.settles_in_ms == 0
        view.accept_grace(heartbeat.settles_in_ms)
        # The sender may keep servers that are not listed yet.
        lacks_retained = was_settled and view.settles_in_ms > 0
        if (
            heartbeat.revision >= view.listing.revision
            and heartbeat.listing_digest == view.listing_digest
        ):
            confirmed_ms = self.clock.now_ms() - heartbeat.listing_age_ms
            view.confirm_listing(heartbeat.revision, confirmed_ms)
            is_newer = False
        if lacks_retained:
            self.wants_retained.add(sender)
        lacks_version = heartbeat.configuration_version > version
        if (is_newer or lacks_version or lacks_retained) and not self.is_catching_up:
            self.is_catching_up = True
            self.nursery.start_soon(self._catch_up)

    async def _catch_up(self) -> None:
        """Fetch from one balancer at a time until nothing is missing.

        All balancers miss a new configuration at the same moment, and their links are
        thin: a few at a time get it from the one that has read it, the others from
        these. Whoever has waited for long reads the store.
        """
        began_ms = self.clock.now_ms()
        failed: set[str] = set()
        try:
            while source := self._choose_source(failed):
                await self._fetch_view(source)
                if source in list_sources(self.view, self.process.members.members):
                    failed.add(source)
                    await trio.sleep(self.rng.uniform(*FETCH_PAUSE_S))
                if self.clock.now_ms() - began_ms > CATCH_UP_MS:
                    began_ms = self.clock.now_ms()
                    failed.clear()
                    await self._read_configuration()
        finally:
            self.is_catching_up = False

    def _choose_source(self, failed: set[str]) -> str | None:
        members = self.process.members.members
        sources = {*list_sources(self.view, members), *self.wants_retained}
        sources &= members.keys()
        if sources and sources <= failed:
            failed.clear()
        zone = self.process.settings.availability_zone
        return choose_source(sources - failed, members, zone, self.rng)

    async def _fetch_view(self, ip: str) -> None:
        """Take over what another balancer knows, if it answers."""
        version = self.view.configuration.version if self.view.configuration else 0
        self.wants_retained.discard(ip)
        endpoint = self.process.find_peer_endpoint(ip)
        asked_ms = self.clock.now_ms()
        try:
            target = f"{VIEW_PATH}?after={version}"
            response = await fetch(endpoint, target, FETCH_TIMEOUT_MS)
            if response.status != 200:
                self.process.metrics.count("view_fetches_put_off_total")
                return
            answer = decode_view(response.body)
        except (HttpError, MalformedMessageError) as error:
            self.process.metrics.count("view_fetch_errors_total")
            log.info("view_not_fetched", balancer=ip, reason=str(error))
            return
        self._accept_configuration(answer.configuration, ip)
        self.view.confirm_configuration(
            answer.configuration_version, answer.configuration_revision
        )
        if answer.listing.revision:
            confirmed_ms = asked_ms - answer.listing_age_ms
            if self.view.accept_listing(answer.listing, confirmed_ms):
                self.log_listing(ip)
            view = self.view
            view.accept_grace(view.settles_in_ms, answer.retained)
            self.process.handle_early_packets()

    async def _answer_view(self, request: HttpRequest) -> HttpResponse:
        after = request.query.get("after", "0")
        known = int(after) if after.isdigit() else 0
        view = self.view
        configuration = view.configuration
        version = configuration.version if configuration is not None else 0
        if version <= known:
            configuration = None
        age_ms = view.age_ms
        retained = tuple(view.retained.values())
        answer = ViewAnswer(
            view.listing,
            min(age_ms or 0, 0xFFFFFFFF),
            configuration,
            retained,
            version,
            view.configuration_revision,
        )
        encoded = self.encoder.encode(answer)
        if not self.pacing.admit(len(encoded)):
            return HttpResponse(503, b'{"error":"ask another balancer"}')
        return HttpResponse(200, encoded, "application/octet-stream")
