"""Prints the configuration of the showrooms while two desks move from the ledger.

python build_configuration.py | amaranthspar config submit - --base-version 1
"""

from amaranthspar import configuration
from amaranthspar.web import tokens

DOMAINS = ("kandy", "matale", "peradeniya")
DESKS_OF_LEDGER = ("matale counter", "peradeniya counter")
DESKS_MOVED = ("kandy counter",)


def build() -> configuration.Configuration:
    """Return services, failure domains, desks, teams and accounts."""
    result = configuration.Configuration()
    result.add_service("price-check", idempotent=True, deadline_ms=3_000)
    result.add_service("liner-quote", idempotent=True, deadline_ms=20_000)
    # A hold may run at most once, so each needs an Idempotency-Key.
    result.add_service("stock-hold", deadline_ms=10_000)
    for name in DOMAINS:
        result.add_domain(name)
    for name in DESKS_OF_LEDGER:
        result.add_desk(name, home="ledger")
    for name in DESKS_MOVED:
        result.add_desk(name)
    result.add_team("counter", weight=3)
    result.add_team("builders")
    result.add_account(
        "showroom", team="counter", token_hash=tokens.hash_token("showroom")
    )
    result.add_account(
        "builders", team="builders", token_hash=tokens.hash_token("builders")
    )
    return result.add_account(
        "operators", token_hash=tokens.hash_token("operators"), operator=True
    )


if __name__ == "__main__":
    print(build())
