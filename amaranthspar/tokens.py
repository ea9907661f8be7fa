"""Bearer tokens, known to the system only as hashes."""

import hashlib
import hmac

from amaranthspar import configuration, entries

SCHEME = "Bearer "


def hash_token(token: str) -> str:
    """Return the SHA-256 of a token in hex.

    Args:
        token: Bearer token.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def find_account(
    header: str, settings: configuration.Configuration
) -> entries.Account | None:
    """Return the account that an ``Authorization`` header proves.

    Args:
        header: Value of the header.
        settings: Configuration that holds the accounts.
    """
    if not header.startswith(SCHEME):
        return None
    digest = hash_token(header[len(SCHEME) :].strip())
    found: entries.Account | None = None
    for account in settings.accounts.values():
        if hmac.compare_digest(account.token_hash, digest):
            found = account
    return found
