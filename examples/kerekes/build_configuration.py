"""Prints the configuration of the tree survey's offices.

python build_configuration.py | amaranthspar config submit - --base-version 1
"""

from amaranthspar import configuration
from amaranthspar.web import tokens

DOMAINS = ("gyor", "pecs", "veszprem")


def build() -> configuration.Configuration:
    """Return services, failure domains, teams and accounts."""
    result = configuration.Configuration()
    result.add_service("girth-lookup", idempotent=True, deadline_ms=5_000)
    result.add_service(
        "stand-recalculation",
        idempotent=True,
        objective="completion",
        deadline_ms=600_000,
    )
    result.add_service("health-flag", idempotent=True, deadline_ms=5_000)
    for name in DOMAINS:
        result.add_domain(name)
    result.add_team("field", weight=3)
    result.add_team("permits", weight=1, max_queued=5_000)
    # An office keeps its tokens to itself and states only their hashes.
    result.add_account("crews", team="field", token_hash=tokens.hash_token("crews"))
    result.add_account(
        "town-hall", team="permits", token_hash=tokens.hash_token("town-hall")
    )
    return result.add_account(
        "operators", token_hash=tokens.hash_token("operators"), operator=True
    )


if __name__ == "__main__":
    print(build())
