"""Compress the text of a document for the log and check its digest.

Entries, the command line and the document checks use it, so that a digest
stands for the same text in all of them.
"""

import base64
import hashlib
import zlib

# Largest text of a document, in characters.
MAX_TEXT_CHARS = 1024 * 1024
# Minimum size of a text that is compressed: a record may have 256 KiB, and a
# link between regions carries 15 Mbit/s.
PACK_MIN_CHARS = 4096
# Prefix of a compressed text; no canonical text starts with it.
PACKED_PREFIX = 'zlib:'


def infer_digest(text: str) -> str:
    """Return the digest of a document's text."""
    return hashlib.sha256(text.encode()).hexdigest()


def pack(text: str) -> str:
    """Return a text in the form in which the log stores it."""
    if len(text) < PACK_MIN_CHARS:
        return text
    data = zlib.compress(text.encode(), 9)
    return PACKED_PREFIX + base64.b64encode(data).decode('ascii')


def unpack(packed: str) -> str:
    """Return the text of a record; raise ValueError if it is malformed."""
    if not packed.startswith(PACKED_PREFIX):
        return packed
    data = base64.b64decode(packed[len(PACKED_PREFIX) :], validate=True)
    stream = zlib.decompressobj()
    try:
        text = stream.decompress(data, MAX_TEXT_CHARS)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not stream.eof:
        raise ValueError(
            f'text is truncated or exceeds {MAX_TEXT_CHARS} bytes'
        )
    return text.decode()


def has_digest(packed: str, digest: str) -> bool:
    """Return whether the text of a record has the given digest."""
    try:
        return infer_digest(unpack(packed)) == digest
    except ValueError:
        return False
