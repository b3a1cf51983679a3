"""Reads what the operators wrote to the store and watches it for changes."""

from typing import TYPE_CHECKING

import structlog
import trio

from citronwinch.coordination.flows import (
    READ_RETRY_MS,
    UNKNOWN_POSITION,
    ConfigurationFollower,
    StorePosition,
    StoreStep,
    compute_configuration_transfer_ms,
)
from citronwinch.platform import StoreError

if TYPE_CHECKING:
    from citronwinch.forwarder._view_exchange import ViewExchange

WATCH_TIMEOUT_MS = 2_000
"""The timeout of one watch request, in milliseconds. If the watch's connection is dead,
a configuration change is delayed by up to this time, which is less than the shortest
time within which a balancer must apply a change."""

WATCH_RETRY_DELAY_S = 0.1
"""The delay before a failed watch is retried, in seconds. It doubles with each further
failure, since the store charges for each watch."""

MAX_WATCH_RETRY_DELAY_S = 0.4
"""The longest delay before a failed watch is retried, in seconds."""

LISTING_READER_TIMEOUT_MS = 2_000
"""How long after its last read of the listing a balancer watches the configuration in
the store, in milliseconds."""

log = structlog.get_logger()


class ConfigurationWatch:
    """Runs the task that follows the configuration and the evacuations in the store.

    Only the balancers that read the listing watch the configuration, because the store
    charges for each watch. They announce a change to the other balancers, which fetch
    it.
    """

    def __init__(self, exchange: "ViewExchange") -> None:
        self.exchange = exchange
        self.process = exchange.process
        self.view = exchange.view
        self.clock = exchange.clock
        self.store = exchange.store
        self.follower = ConfigurationFollower(self.view)
        self.listing_read_ms = -LISTING_READER_TIMEOUT_MS
        self.listing_was_read = trio.Event()
        self.transfer_ms = compute_configuration_transfer_ms(
            self.process.settings.link_mbps
        )
        self.has_configuration = trio.Event()
        self.watch_retry_delay_s = WATCH_RETRY_DELAY_S
        self.watch_scope = trio.CancelScope()
        """The scope of the running watch, if any."""

    def record_listing_read(self) -> None:
        """Record a successful read of the listing, and the era of its answer."""
        self.listing_read_ms = self.clock.now_ms()
        self.listing_was_read.set()
        self._record_era()

    def _record_era(self) -> None:
        """End a running watch if the store has come back from an older copy.

        Its revision is that of an earlier era.
        """
        if not self.follower.record_era(self.store.era):
            return
        log.warning("store_restored", era=self.store.era)
        self.process.metrics.count("store_restores_total")
        self.watch_scope.cancel()

    async def run(self) -> None:
        """Follow the configuration while this balancer is a reader of the listing."""
        await self._await_first_configuration()
        while True:
            if self.is_listing_reader():
                await self._follow_once()
            else:
                self.listing_was_read = trio.Event()
                await self.listing_was_read.wait()

    async def _await_first_configuration(self) -> None:
        """Wait for another balancer's configuration, then read the store as well.

        The store is read only after the transfer time of the largest configuration,
        which is long on a slow link: there, the store's response would delay callers'
        packets for most of a second, while balancers send the configuration compressed.
        """
        with trio.move_on_after(self.transfer_ms / 1000):
            await self.has_configuration.wait()
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_until_known)
            await self.has_configuration.wait()
            nursery.cancel_scope.cancel()

    async def _read_until_known(self) -> None:
        """Read the configuration again after a pause, or once the store answers."""
        while True:
            self.listing_was_read = trio.Event()
            await self.read_configuration()
            with trio.move_on_after(READ_RETRY_MS / 1000):
                await self.listing_was_read.wait()

    def is_listing_reader(self) -> bool:
        """Return whether this balancer has read the listing recently."""
        return self.clock.now_ms() - self.listing_read_ms < LISTING_READER_TIMEOUT_MS

    async def _follow_once(self) -> None:
        self._record_era()
        step = self.follower.choose_step()
        if step is StoreStep.WATCH:
            await self._watch_once()
        elif step is StoreStep.AWAIT_POSITION:
            await self._await_position()
        elif not await self.read_configuration():
            await trio.sleep(READ_RETRY_MS / 1000)

    async def read_configuration(self) -> bool:
        """Read the configuration; return whether the store answered."""
        result = await self.store.read_configuration(2 * self.transfer_ms)
        if result.is_error():
            self.exchange.record_read_failure(result.error)
            return False
        self._record_era()
        read = result.ok
        # Evacuations are applied first: a position that heartbeats state as that of the
        # configuration implies that the sender knows all evacuations up to it.
        zones = {evacuation.zone for evacuation in read.evacuations}
        self.view.evacuations.accept_read(zones, read.position)
        self.process.handle_evacuations("store")
        if read.configuration_error is not None:
            self.exchange.record_read_failure(read.configuration_error)
            return False
        self.exchange.record_read_success()
        if self.follower.handle_read(read.configuration, read.position):
            self.exchange.handle_newer_configuration("store")
        return True

    async def _watch_once(self) -> None:
        """Wait for a change after the position up to which the view is current."""
        position = self.view.configuration_position
        with trio.CancelScope() as self.watch_scope:
            result = await self.store.watch_configuration(
                position.revision, WATCH_TIMEOUT_MS
            )
        if self.watch_scope.cancelled_caught:
            return
        self._record_era()
        if result.is_error():
            await self._handle_watch_error(result.error, position)
            return
        answer = result.ok
        self.view.evacuations.merge(answer.evacuations)
        self.process.handle_evacuations("store")
        if answer.configuration_error is not None:
            await self._handle_watch_error(answer.configuration_error, position)
            return
        self.watch_retry_delay_s = WATCH_RETRY_DELAY_S
        if self.follower.handle_watch(answer.configurations, answer.position, position):
            self.exchange.handle_newer_configuration("store")

    async def _handle_watch_error(
        self, error: StoreError, watched_from: StorePosition
    ) -> None:
        """Log a failed watch, and read instead if no watch from there can succeed."""
        self.process.metrics.count("store_errors_total", error.step)
        log.info(
            "watch_ended",
            reason=error.reason,
            era=watched_from.era,
            revision=watched_from.revision,
        )
        if error.is_history_lost:
            self.follower.handle_lost_history(watched_from)
            return
        if not error.is_temporary:
            self.follower.must_read = True
        await trio.sleep(self.watch_retry_delay_s)
        self.watch_retry_delay_s = min(
            2 * self.watch_retry_delay_s, MAX_WATCH_RETRY_DELAY_S
        )

    async def _await_position(self) -> None:
        """Wait for the store's position at which the configuration is current.

        Other balancers send it in heartbeats and views. If it is still unknown after
        twice the transfer time of the largest configuration, which is almost at once on
        a fast link, read the whole configuration from the store.
        """
        deadline_ms = self.clock.now_ms() + 2 * self.transfer_ms
        while self.clock.now_ms() < deadline_ms:
            await trio.sleep(WATCH_RETRY_DELAY_S / 2)
            if self.view.configuration_position != UNKNOWN_POSITION:
                return
        await self.read_configuration()
        if self.view.configuration_position == UNKNOWN_POSITION:
            await trio.sleep(READ_RETRY_MS / 1000)
