"""Authorization of callers and operators by bearer token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from amaranthspar.schema import entries, problems
from amaranthspar.web import tokens

if TYPE_CHECKING:
    from collections.abc import Mapping

    from amaranthspar.membership import view

INITIAL_OPERATOR = "operator"
"""Name of the operator whose token hash is in the settings of the gateway."""
TOKEN_HEADER = "authorization"


class Authorizer:
    """Checks bearer tokens against the current configuration.

    Args:
        current_view: View with the configuration that holds the accounts.
        operator_token_hash: SHA-256 of the initial operator's token in hex; may be
            empty.
    """

    def __init__(self, current_view: view.View, operator_token_hash: str) -> None:
        self._view = current_view
        self._operator_token_hash = operator_token_hash

    def find_account(self, headers: Mapping[str, str]) -> entries.Account:
        """Return the account of the caller.

        Args:
            headers: HTTP headers with lower-case names.

        Raises:
            problems.ProblemError: The token is missing or unknown, or there is no
                configuration yet.
        """
        account = self.find_own_account(headers)
        if account is not None:
            return account
        if not self._view.configuration_version:
            raise problems.refuse_unready("no configuration yet")
        detail = "missing or unknown bearer token"
        raise problems.ProblemError(401, "unauthorized", detail)

    def find_own_account(self, headers: Mapping[str, str]) -> entries.Account | None:
        """Return the account whose token the headers hold, None if there is none.

        Args:
            headers: HTTP headers with lower-case names.
        """
        header = headers.get(TOKEN_HEADER, "")
        return tokens.find_account(header, self._view.settings)

    def find_operator(self, headers: Mapping[str, str]) -> str:
        """Return the name of the operator that sent the request.

        Args:
            headers: HTTP headers with lower-case names.

        Raises:
            problems.ProblemError: The token is not that of an operator.
        """
        if tokens.matches_token(
            headers.get(TOKEN_HEADER, ""), self._operator_token_hash
        ):
            return INITIAL_OPERATOR
        account = self.find_account(headers)
        if not account.operator:
            detail = f"account {account.name} is not an operator's"
            raise problems.ProblemError(403, "forbidden", detail)
        return account.name
