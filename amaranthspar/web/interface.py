"""Interface of the gateway that the HTTP handlers use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio

    from amaranthspar import clock
    from amaranthspar.clients import control
    from amaranthspar.dispatch import dispatcher, submissions
    from amaranthspar.membership import leaseholder
    from amaranthspar.schema import options
    from amaranthspar.web import answers, parsing


class GatewayInterface(Protocol):
    """Submissions, configuration and state of a gateway.

    Attributes:
        clock: Clock of the process.
        options: Section ``gateway`` of the settings.
        control: Client of the controllers.
        dispatcher: Dispatcher of submissions, read for the status.
        holder: Lease holder, with the view of the configuration and members.
        draining: Whether callers should use another gateway, because this one stops.
        closing: Whether new submissions are rejected.
    """

    clock: clock.Clock
    options: options.GatewayOptions
    control: control.ControllerClient
    dispatcher: dispatcher.Dispatcher
    holder: leaseholder.LeaseHolder
    draining: bool
    closing: bool

    @property
    def is_ready(self) -> bool:
        """Whether this gateway is ready for callers."""

    def create_submission_id(self) -> str:
        """Return a submission id that is unique over gateways and incarnations."""

    def submit(
        self, submission: submissions.Submission
    ) -> asyncio.Future[submissions.Answer]:
        """Submit a request or job and return the future of its final answer."""

    async def submit_keyed(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> submissions.Answer | answers.KeyConflict:
        """Run a submission, or return the answer of the one that holds its key."""

    async def find_job(self, name: str, account: str) -> submissions.Answer | None:
        """Return the answer of a job, with outcome ``running`` if it has not ended."""

    def cancel_job(self, name: str, account: str) -> bool:
        """Cancel a job; one that has ended is not changed."""

    def discard_answer(self, name: str) -> None:
        """Remove an answer that no caller will ask for again."""
