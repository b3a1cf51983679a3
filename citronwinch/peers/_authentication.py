"""Authentication of datagrams between agents and balancers."""

import hashlib
import hmac
from typing import NamedTuple

TAG_BYTES = 16
"""Length of the authentication tag in bytes."""

KEY_BYTES = 32
"""Length of a shared key in bytes."""


class KeyRing(NamedTuple):
    """The shared keys with which a process signs and verifies datagrams.

    Datagrams are signed with one key and accepted under any of the accepted keys, so
    that keys can be rotated one instance at a time.
    """

    signing_key: bytes
    """The key that signs the datagrams that this process sends."""

    accepted_keys: tuple[bytes, ...]
    """The keys that verify received datagrams, including the signing key."""

    def sign(self, data: bytes) -> bytes:
        """Return the data with its authentication tag in front."""
        return compute_tag(self.signing_key, data) + data

    def verify(self, datagram: bytes) -> bytes | None:
        """Return the data of a signed datagram, None when no accepted key matches."""
        tag, data = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        for key in self.accepted_keys:
            if hmac.compare_digest(tag, compute_tag(key, data)):
                return data
        return None


def compute_tag(key: bytes, data: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of the data."""
    return hashlib.blake2b(data, key=key, digest_size=TAG_BYTES).digest()
