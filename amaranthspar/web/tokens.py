"""Checks of bearer tokens, of which only hashes are stored."""

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


def matches_token(header: str, token_hash: str) -> bool:
    """Return whether an ``Authorization`` header holds the token with a given hash.

    Args:
        header: Value of the header; empty for none.
        token_hash: SHA-256 of the token in hex; empty for none.
    """
    digest = _hash_header(header)
    return bool(digest and token_hash) and is_same_hash(token_hash, digest)


def is_same_hash(token_hash: str, digest: str) -> bool:
    """Return whether two hashes are equal, compared in constant time.

    Args:
        token_hash: Hash in hex from the settings, in upper or lower case.
        digest: Hash of the caller's token in lower-case hex.
    """
    return hmac.compare_digest(token_hash.lower().encode(), digest.encode())


def find_account(
    header: str, settings: configuration.Configuration
) -> entries.Account | None:
    """Return the account whose token an ``Authorization`` header holds, or None.

    Args:
        header: Value of the header; empty for none.
        settings: Configuration that holds the accounts.
    """
    digest = _hash_header(header)
    if not digest:
        return None
    found: entries.Account | None = None
    for account in settings.accounts.values():
        if is_same_hash(account.token_hash, digest):
            found = account
    return found


def _hash_header(header: str) -> str:
    scheme, _, token = header.partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME or not token:
        return ""
    return hash_token(token)
