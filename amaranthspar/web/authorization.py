"""Who may call a gateway, and as what."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar.schema import entries, problems
from amaranthspar.web import tokens

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthspar.membership import view

FIRST_OPERATOR = "operator"
HEADER = "authorization"


class Authorizer:
    """Checks bearer tokens against the configuration in force.

    Args:
        known: Configuration that holds the accounts.
        first_hash: SHA-256 of the first operator's token in hex; may be empty.
    """

    def __init__(self, known: view.View, first_hash: str) -> None:
        self._view = known
        self._first_hash = first_hash

    def find_account(self, headers: Mapping[str, str]) -> entries.Account:
        """Return the account that calls.

        Args:
            headers: HTTP headers.

        Raises:
            problems.ProblemError: There is no valid token, or no configuration.
        """
        header = headers.get(HEADER, "")
        account = tokens.find_account(header, self._view.settings)
        if account is not None:
            return account
        if not self._view.configuration_version:
            raise problems.refuse_unready("no configuration yet")
        detail = "missing or unknown bearer token"
        raise problems.ProblemError(401, "unauthorized", detail)

    def find_operator(self, headers: Mapping[str, str]) -> str:
        """Return the name of the operator that calls.

        Args:
            headers: HTTP headers.

        Raises:
            problems.ProblemError: The caller is no operator.
        """
        if tokens.is_token(headers.get(HEADER, ""), self._first_hash):
            return FIRST_OPERATOR
        account = self.find_account(headers)
        if not account.operator:
            detail = f"account {account.name} is not an operator's"
            raise problems.ProblemError(403, "forbidden", detail)
        return account.name
