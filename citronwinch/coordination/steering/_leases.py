"""Leases between the members of a service, which decide on the owners of new flows.

A member may choose the owner of a new flow only while it holds a lease from every
other member, or that member is confirmed gone. With a lease its grantor promises to
decide nothing by an older table revision, and to grant no lease to the members that
the lease lists as silent. A lease is valid from the sending of its request and is
checked against the clock whenever it is used, so that a process that was paused finds
its leases expired.
"""

from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._messages import LeaseAnswer, LeaseRequest

LEASE_MS = 5_000
"""How long a lease lasts, in milliseconds."""

SILENT_MS = 5_500
"""Time without a lease request or query until a member counts as silent, in ms.

It exceeds `LEASE_MS` by more than two clocks drift apart in that time, so that the
leases granted to a silent member have expired.
"""

HEARTBEAT_MS = 2_000
"""How often a lease is renewed, in milliseconds."""

RETRY_MS = 400
"""How soon an unanswered lease request is repeated, in milliseconds."""

FORMER_RETRY_MS = 700
"""How soon a former member repeats a lease request to a silent member, in ms.

Several requests reach a restarted member within `LEARNING_MS`.
"""

LEARNING_MS = 3_000
"""How long a started member waits at most to learn of former members, in milliseconds.

Former members have left the table but may still own flows; such an owner sends a lease
request to each member at least every `HEARTBEAT_MS`.
"""

UNANSWERED_REQUESTS_LIMIT = 3
"""The most unanswered requests before a member is reported to the balancers."""

NEVER_MS = 1 << 62
"""A time that is never reached, in milliseconds."""


def find_majority_end(ends: list[int], own_votes: int) -> int:
    """Return the earliest time at which a majority of members may count one as silent.

    `ends` are the times from which each other member may do so. `own_votes` is 1 if
    the member itself counts, 0 otherwise.
    """
    majority_index = (len(ends) + own_votes) // 2
    return sorted(ends)[majority_index] if majority_index < len(ends) else NEVER_MS


class ReceivedLease(NamedTuple):
    """A lease that another member has granted to this member."""

    expires_ms: int
    """When the lease expires, by this member's clock, in milliseconds."""

    revision: int
    """The table revision that the lease is valid for."""

    is_complete: bool
    """Whether this member, as a home, knows all of its flows that the grantor owns."""

    silent: tuple[str, ...]
    """The members that the grantor counts as silent or departed."""

    requested_ms: int
    """When it was requested, by this member's clock, in milliseconds."""


class LeaseMember:
    """What one member of a service knows about another.

    `last_granted_ms` is the time of the last lease granted to that member, and
    `no_grant_until_ms` the end of the promise to grant it none. `requested_ms` is when
    the latest lease request was sent to that member; None makes a request due at once.
    `answered_ms` is not when an answer arrived, but when the latest answered request
    was sent. `departed_ms` is when its latest departure became known. All are by this
    member's clock.
    """

    def __init__(self, now_ms: int) -> None:
        self.lease: ReceivedLease | None = None
        self.last_granted_ms = now_ms
        self.has_grant = False
        self.no_grant_until_ms = 0
        self.last_received_ms = now_ms
        self.is_leaving = False
        self.has_departed = False
        self.departed_ms = 0
        self.requested_ms: int | None = None
        self.answered_ms: int | None = None
        self.unanswered_requests = 0
        self.is_learning = True
        self.incarnation = 0
        self.last_request_sent_ms = 0


class ServiceLeases:
    """The leases of one service that one member holds and grants.

    `fence_revision` is the highest table revision known; this member decides nothing
    by an older one, and `fence_source` is the member that it became known from. Former
    members have left the table but may still own flows; cleared ones own none.

    Until `ownership_certain_until_ms` no majority of the members can count this member
    as silent; afterwards they may have chosen new owners for its flows.
    """

    def __init__(
        self, service: str, name: str, clock: Clock, owns_flows: Callable[[], bool]
    ) -> None:
        self.service = service
        self.owns_flows = owns_flows
        self.name = name
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.revision = 0
        self.fence_revision = 0
        self.fence_source = ""
        self.current_members: frozenset[str] = frozenset()
        self.former_members: set[str] = set()
        self.cleared_members: set[str] = set()
        self.ownership_certain_until_ms = clock.now_ms() + SILENT_MS
        self.unlisted: frozenset[str] = frozenset()
        self.members: dict[str, LeaseMember] = {}

    def update_members(self, revision: int, names: frozenset[str]) -> None:
        """Replace the members by those of a newer table.

        A member that has left stays a former member while it owns flows.
        """
        if self.name in names and self.name not in self.current_members:
            self.reset_silence_timers()
        self.former_members |= self.current_members
        self.former_members -= names | {self.name}
        self.cleared_members.clear()
        self.current_members = names
        self.revision = revision
        self.raise_fence(revision, "")
        for name in names - {self.name}:
            self.member(name)
        self.update_ownership_certainty()

    @property
    def is_participant(self) -> bool:
        """Whether this agent exchanges leases: it is a member or owns flows."""
        return self.name in self.current_members or self.owns_flows()

    def reset_silence_timers(self) -> None:
        """Restart the silence timers of all members."""
        for member in self.members.values():
            member.last_received_ms = self.clock.now_ms()

    def member(self, name: str) -> LeaseMember:
        """Return the state of a member, created on first use."""
        if name not in self.members:
            self.members[name] = LeaseMember(self.clock.now_ms())
        return self.members[name]

    def list_other_members(self) -> list[str]:
        """Return the current and former members without this one."""
        return sorted((self.current_members | self.former_members) - {self.name})

    def raise_fence(self, revision: int, source: str) -> None:
        """Decide nothing by a revision older than this from now on."""
        if revision > self.fence_revision:
            self.fence_revision = revision
            self.fence_source = source

    @property
    def is_fenced(self) -> bool:
        """Whether a revision is known that is newer than this member's table."""
        return self.fence_revision > self.revision

    def record_incarnation(self, name: str, incarnation: int) -> bool | None:
        """Record the incarnation in a message of a member.

        Return whether the member was restarted, None for a message of an older run.
        """
        member = self.member(name)
        known, member.incarnation = (
            member.incarnation,
            max(incarnation, member.incarnation),
        )
        if incarnation < known:
            return None
        return known not in (0, incarnation)

    def due_requests(
        self, is_leaving: bool, incarnation: int
    ) -> list[tuple[str, LeaseRequest]]:
        """Return the lease requests that are due now, with their receivers."""
        now_ms = self.clock.now_ms()
        due = [name for name in self.list_other_members() if self.is_due(name, now_ms)]
        request = LeaseRequest(
            self.service, self.revision, now_ms, is_leaving, incarnation
        )
        for name in due:
            self.member(name).requested_ms = now_ms
            self.member(name).unanswered_requests += 1
        return [(name, request) for name in due]

    def is_due(self, name: str, now_ms: int) -> bool:
        """Return whether a lease should be requested from a member now."""
        member = self.member(name)
        if member.requested_ms is None:
            return True
        waited_ms = now_ms - member.requested_ms
        if name in self.unlisted or self.is_silent(name):
            is_member = self.name in self.current_members
            return waited_ms >= (HEARTBEAT_MS if is_member else FORMER_RETRY_MS)
        lease = member.lease
        if lease is None or lease.revision < self.revision or not lease.is_complete:
            return waited_ms >= RETRY_MS
        is_answered = (member.answered_ms or 0) >= member.requested_ms
        return waited_ms >= (HEARTBEAT_MS if is_answered else RETRY_MS)

    def list_unresponsive_members(self) -> list[str]:
        """Return the members that have departed or left several requests unanswered."""
        return [
            name
            for name in self.list_other_members()
            if self.member(name).unanswered_requests > UNANSWERED_REQUESTS_LIMIT
            or self.member(name).has_departed
        ]

    def renew_all(self) -> None:
        """Make a lease request to every member due at once."""
        for member in self.members.values():
            member.requested_ms = None

    def mark_alive(self, name: str) -> bool:
        """Record a message of a member; return whether it was unavailable before."""
        member = self.member(name)
        was_unavailable = self.is_unavailable(name)
        member.last_received_ms = self.clock.now_ms()
        member.has_departed = False
        return was_unavailable

    def answer_request(
        self, sender: str, request: LeaseRequest, *, is_complete: bool
    ) -> LeaseAnswer:
        """Return the answer to a lease request: a lease, or a refusal with the fence.

        A lease is refused to a member with an older revision than the fence, and to
        a member that was listed as silent to another one.
        """
        now_ms = self.clock.now_ms()
        member = self.member(sender)
        member.last_request_sent_ms = max(member.last_request_sent_ms, request.sent_ms)
        member.is_leaving = request.is_leaving
        if sender not in self.current_members:
            self.former_members.add(sender)
            self.cleared_members.discard(sender)
        is_granted = (
            request.revision >= self.fence_revision
            and now_ms >= member.no_grant_until_ms
        )
        if is_granted:
            self.raise_fence(request.revision, sender)
            member.last_granted_ms = now_ms
            member.has_grant = True
        silent = self.list_unavailable(sender) if is_granted else ()
        return LeaseAnswer(
            self.service,
            self.fence_revision,
            request.sent_ms,
            is_granted,
            is_granted and is_complete and request.revision == self.revision,
            silent=silent,
            former=tuple(sorted(self.former_members)),
            is_learning=self.is_learning,
        )

    def list_unavailable(self, receiver: str) -> tuple[str, ...]:
        """Return the silent and departed members for a lease to the receiver.

        The silent ones are granted no lease for `SILENT_MS`.
        """
        now_ms = self.clock.now_ms()
        unavailable = [
            name
            for name in self.list_other_members()
            if name != receiver and self.is_unavailable(name)
        ]
        for name in unavailable:
            if self.is_silent(name):
                self.member(name).no_grant_until_ms = now_ms + SILENT_MS
        return tuple(unavailable)

    def accept_answer(self, sender: str, answer: LeaseAnswer) -> None:
        """Record the answer of a member and the lease in it."""
        member = self.member(sender)
        member.is_leaving = answer.is_leaving
        if answer.has_departed:
            member.has_departed = answer.sent_ms >= member.last_request_sent_ms
            member.departed_ms = self.clock.now_ms()
            member.lease = None
            self.renew_all()
            self.raise_fence(answer.revision, sender)
            return
        if answer.sent_ms < (member.answered_ms or 0):
            return
        member.answered_ms = answer.sent_ms
        member.is_learning = answer.is_learning
        member.unanswered_requests = 0
        member.has_departed = False
        self.raise_fence(answer.revision, sender)
        self.former_members |= (
            set(answer.former)
            - self.current_members
            - self.cleared_members
            - {self.name}
        )
        self.update_ownership_certainty()
        if not answer.is_granted:
            return
        member.lease = ReceivedLease(
            answer.sent_ms + LEASE_MS,
            answer.revision,
            answer.is_complete,
            answer.silent,
            answer.sent_ms,
        )
        if (
            sender in self.former_members
            and answer.is_complete
            and not answer.owns_flows
        ):
            self.former_members.discard(sender)
            self.cleared_members.add(sender)

    def update_ownership_certainty(self) -> None:
        """Compute until when no majority of members can count this member as silent.

        Afterwards the other members may have chosen new owners for this member's
        flows, so this member has to query them before it delivers packets again.

        This member itself counts only if it is in the table and the platform lists it.
        A member that the platform does not list may be silent to the others, which
        then leave it out of the majority.
        """
        others = (
            self.current_members - self.list_silent_unlisted_members() - {self.name}
        )
        own_votes = int(self.name in self.current_members - self.unlisted)
        listed = [self.find_certainty_end(name) for name in others - self.unlisted]
        unlisted = sorted(map(self.find_certainty_end, others & self.unlisted))
        self.ownership_certain_until_ms = min(
            find_majority_end([*listed, *unlisted[:count]], own_votes)
            for count in range(len(unlisted) + 1)
        )

    def find_certainty_end(self, name: str) -> int:
        """Return when a member may count this member as silent, in milliseconds."""
        return (self.member(name).answered_ms or self.started_ms) + SILENT_MS

    def accept_unlisted(self, unlisted: frozenset[str]) -> None:
        """Replace the members that the platform does not list."""
        self.unlisted = unlisted
        self.update_ownership_certainty()

    def is_former_member_known(self, restarted: str) -> bool:
        """Return whether a restarted member knew this one before it could decide.

        It knows the current members from the table, but learns of a former member from
        that member's lease requests only. Its first answer says whether that was while
        it was learning.
        """
        return self.name in self.current_members or self.member(restarted).is_learning

    def list_silent_unlisted_members(self) -> set[str]:
        """Return the silent current members that the platform no longer lists."""
        return {name for name in self.unlisted - {self.name} if self.is_silent(name)}

    def is_unavailable(self, name: str) -> bool:
        """Return whether a member has departed or is silent."""
        return self.member(name).has_departed or self.is_silent(name)

    def is_silent(self, name: str) -> bool:
        """Return whether a member was silent for so long that it holds no lease.

        An agent that exchanges no leases cannot tell, and counts no member as silent.
        """
        if not self.is_participant:
            return False
        return self.clock.now_ms() - self.member(name).last_received_ms >= SILENT_MS

    def has_valid_lease(self, name: str) -> bool:
        """Return whether the lease from a member is valid now."""
        lease = self.member(name).lease
        return (
            lease is not None
            and lease.revision == self.revision
            and self.clock.now_ms() < lease.expires_ms
        )

    def has_complete_lease(self, name: str) -> bool:
        """Return whether the lease from a member is valid and complete.

        This member then knows all flows of that member that have this member as home.
        """
        lease = self.member(name).lease
        return self.has_valid_lease(name) and lease is not None and lease.is_complete

    def has_outstanding_grant(self, name: str) -> bool:
        """Return whether a lease granted to a member may still be valid."""
        member = self.member(name)
        age_ms = self.clock.now_ms() - member.last_granted_ms
        return member.has_grant and age_ms < SILENT_MS

    def is_confirmed_gone(self, name: str) -> bool:
        """Return whether a member certainly decides nothing now.

        It has departed, or every member with a valid lease to this one lists it as
        silent, and these members with this one are a majority. Silent members that
        the platform no longer lists don't count for the majority.
        """
        if self.member(name).has_departed:
            return True
        if not self.is_silent(name):
            return False
        witnesses = [
            other for other in self.list_other_members() if self.has_valid_lease(other)
        ]
        for other in witnesses:
            lease = self.member(other).lease
            if lease is None or name not in lease.silent:
                return False
        counted = self.current_members | {self.name}
        votes = 1 + sum(other in counted for other in witnesses)
        return 2 * votes > len(counted - self.list_silent_unlisted_members())

    @property
    def is_learning(self) -> bool:
        """Whether former members may own flows that this member doesn't know of yet.

        Learning ends after `LEARNING_MS`, or with a complete lease from a member that
        is not learning.
        """
        if self.clock.now_ms() - self.started_ms >= LEARNING_MS:
            return False
        return not any(
            self.has_complete_lease(name) and not self.member(name).is_learning
            for name in self.list_other_members()
        )

    def list_blocking_members(self) -> list[str]:
        """Return the members that have to be queried before a new flow is opened."""
        others = self.current_members - {self.name}
        departed = [name for name in others if self.member(name).has_departed]
        return [
            name
            for name in self.list_other_members()
            if not (self.has_complete_lease(name) and self.covers(name, departed))
            and not self.is_confirmed_gone(name)
        ]

    def covers(self, grantor: str, departed: list[str]) -> bool:
        """Return whether a complete lease includes the flows of departed homes.

        The grantor registers these flows with their next homes when it knows of the
        departures, which the lease then names. One that was requested before may stem
        from an earlier departure.
        """
        lease = self.member(grantor).lease
        return lease is not None and all(
            name in lease.silent and lease.requested_ms >= self.member(name).departed_ms
            for name in departed
            if name != grantor
        )
