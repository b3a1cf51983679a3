"""Comparison of the 32-bit sequence numbers of flows, which wrap around."""

SEQUENCE_RANGE = 1 << 32
"""Sequence numbers have 32 bits and wrap around at this value."""

CALLER_CONFIRMATION_MAX_DISTANCE = 2
"""How far beyond the backend server's first sequence number a caller's acknowledgement
may be to confirm that server's acceptance, in sequence numbers."""

MAX_BYTES_IN_FLIGHT = 16 * 1_200
"""The most data that one end of a flow sends before it is acknowledged, in bytes."""

MAX_FLOW_STEP_BYTES = 1 << 24
"""How far apart numbers of one flow are assumed to be at most, in bytes, if a process
has not seen the packets between them. Ends of flows begin at random numbers."""


def compute_sequence_distance(sequence: int, start: int) -> int:
    """Return how far a sequence number is after another one; negative if before.

    Example::

        >>> compute_sequence_distance(5, SEQUENCE_RANGE - 5)
        10
        >>> compute_sequence_distance(100, 150)
        -50
    """
    half = SEQUENCE_RANGE // 2
    return (sequence - start + half) % SEQUENCE_RANGE - half


def confirms_acceptance(acknowledged: int, server_first_sequence: int) -> bool:
    """Return whether a caller's acknowledgement confirms a server's acceptance.

    Several servers may accept copies of one opening, each with a sequence number of its
    own. The caller confirms one of them.

    Example::

        >>> confirms_acceptance(501, server_first_sequence=500)
        True
        >>> confirms_acceptance(80_001, server_first_sequence=500)
        False
    """
    distance = (acknowledged - server_first_sequence) % SEQUENCE_RANGE
    return distance <= CALLER_CONFIRMATION_MAX_DISTANCE


def may_be_same_flow(number: int, earlier: int) -> bool:
    """Return whether two numbers may be those of one end of one flow.

    Example::

        >>> may_be_same_flow(70_000, earlier=500)
        True
        >>> may_be_same_flow(1 << 30, earlier=500)
        False
    """
    step = (number - earlier + MAX_FLOW_STEP_BYTES) % SEQUENCE_RANGE
    return step <= 2 * MAX_FLOW_STEP_BYTES
