"""Decides how a balancer that may read the store follows the configuration there."""

from collections.abc import Sequence
from enum import Enum

from citronwinch.coordination.flows._deployment import Configuration
from citronwinch.coordination.flows._store_position import (
    UNKNOWN_POSITION,
    StorePosition,
)
from citronwinch.coordination.flows._view import DeploymentView


class StoreStep(Enum):
    """What a balancer does next to follow the configuration."""

    AWAIT_POSITION = "await position"
    """Wait for another balancer to send the position at which the configuration is the
    newest, and read the configuration if none does."""

    READ = "read"
    """Read the configuration."""

    WATCH = "watch"
    """Watch for a change after the view's configuration position."""


class ConfigurationFollower:
    """Chooses between watching the configuration and reading it whole.

    A watch reports the changes after a position. The store may have dropped its history
    at that position, or come back from an older copy that lacks it. The balancer that
    learns of either reads the configuration itself, because every other balancer may
    know only the same lost position.
    """

    def __init__(self, view: DeploymentView) -> None:
        self.view = view
        self.era: int | None = None
        """The highest era that an answer of the store had, None before the first."""
        self.must_read = False
        """Whether changes may have been missed since the last read."""

    def record_era(self, era: int) -> bool:
        """Record the era of an answer; return whether the store came back from a copy.

        The era of a balancer's first answer is not a return unless the view has a
        position of an earlier era.
        """
        if self.era is not None and era <= self.era:
            return False
        known_eras = [] if self.era is None else [self.era]
        positions = (self.view.configuration_position, self.view.listing.position)
        known_eras += [p.era for p in positions if p != UNKNOWN_POSITION]
        is_restored = max(known_eras, default=era) < era
        self.era = era
        self.view.forget_position(StorePosition(era, 0))
        self.view.evacuations.record_era(era)
        self.must_read = self.must_read or is_restored
        return is_restored

    def choose_step(self) -> StoreStep:
        """Return what to do next."""
        if self.must_read or self.view.evacuations.needs_read():
            return StoreStep.READ
        if self.view.configuration_position == UNKNOWN_POSITION:
            return StoreStep.AWAIT_POSITION
        return StoreStep.WATCH

    def handle_read(
        self, configuration: Configuration | None, position: StorePosition
    ) -> bool:
        """Apply a read of the configuration; return whether it is a newer version.

        The store may have an older version than this balancer after it came back from a
        copy. It then has no newer one either, and a watch from the read's position
        reports the version that the operators write again.
        """
        is_newer = self._accept(configuration)
        self._confirm(position)
        return is_newer

    def _confirm(self, position: StorePosition) -> None:
        """Record that the view has the newest version at a position of the store."""
        current = self.view.configuration
        if self.era is None or position.era >= self.era:
            self.must_read = False
            if current is not None:
                self.view.confirm_configuration(current.version, position)

    def handle_watch(
        self,
        configurations: Sequence[Configuration],
        position: StorePosition,
        watched_from: StorePosition,
    ) -> bool:
        """Apply the answer to a watch; return whether it has a newer version.

        `configurations` are all versions that were written since the watched position,
        in order. An answer of a later era than that position may lack some.
        """
        if position.era != watched_from.era:
            self.must_read = True
            newest = configurations[-1] if configurations else None
            return self._accept(newest)
        is_newer = False
        for configuration in configurations:
            is_newer |= self.view.accept_configuration(
                configuration, is_next_version=True
            )
        self._confirm(position)
        return is_newer

    def handle_lost_history(self, watched_from: StorePosition) -> None:
        """Record that the store has no history from a watched position."""
        self.view.forget_position(watched_from)
        self.must_read = True

    def _accept(self, configuration: Configuration | None) -> bool:
        return configuration is not None and self.view.accept_configuration(
            configuration
        )
