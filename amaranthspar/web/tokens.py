"""Bearer tokens, known to the system only as hashes."""

import hashlib
import hmac

from amaranthspar import configuration
from amaranthspar.schema import entries

SCHEME = "bearer"


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hex.

    Args:
        token: Bearer token.
    """
    return hashlib.sha256(token.encode(errors="surrogateescape")).hexdigest()


def is_token(header: str, token_hash: str) -> bool:
    """Return whether an ``Authorization`` header holds one certain token.

    Args:
        header: Value of the header.
        token_hash: SHA-256 of the token in hex; empty for none.
    """
    digest = _hash_header(header)
    return bool(digest and token_hash) and is_equal(token_hash, digest)


def is_equal(token_hash: str, digest: str) -> bool:
    """Compare two hashes in a time that tells nothing of them.

    Args:
        token_hash: Hash from the settings, in either case of letters.
        digest: Hash of the caller's token.
    """
    return hmac.compare_digest(token_hash.lower().encode(), digest.encode())


def find_account(
    header: str, settings: configuration.Configuration
) -> entries.Account | None:
    """Return the account that an ``Authorization`` header proves.

    Args:
        header: Value of the header.
        settings: Configuration that holds the accounts.
    """
    digest = _hash_header(header)
    if not digest:
        return None
    found: entries.Account | None = None
    for account in settings.accounts.values():
        if is_equal(account.token_hash, digest):
            found = account
    return found


def _hash_header(header: str) -> str:
    scheme, _, token = header.partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME or not token:
        return ""
    return hash_token(token)
