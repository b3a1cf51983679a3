"""Authentication of datagrams between the system's own processes."""

import hashlib
import hmac
from typing import NamedTuple

TAG_BYTES = 16
"""Length of the authentication tag in bytes."""

KEY_BYTES = 32
"""Length of a shared key in bytes."""


class KeyRing(NamedTuple):
    """The keys that are valid now.

    Messages are signed with the first key and accepted under any of them, so that
    keys can be rotated one instance at a time.
    """

    signing: bytes
    """The key for messages that this process sends."""

    accepted: tuple[bytes, ...]
    """All keys under which messages are accepted, the signing key among them."""

    def seal(self, data: bytes) -> bytes:
        """Return the data with its tag in front."""
        return compute_tag(self.signing, data) + data

    def open(self, datagram: bytes) -> bytes | None:
        """Return the data of a sealed datagram, None when no key fits."""
        tag, data = datagram[:TAG_BYTES], datagram[TAG_BYTES:]
        for key in self.accepted:
            if hmac.compare_digest(tag, compute_tag(key, data)):
                return data
        return None


def compute_tag(key: bytes, data: bytes) -> bytes:
    """Return the keyed BLAKE2b tag of the data."""
    return hashlib.blake2b(data, key=key, digest_size=TAG_BYTES).digest()
