"""What the HTTP interface needs of the gateway that it serves."""

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
    """Submissions, configuration and state behind the HTTP interface.

    Attributes:
        clock: Clock of the process.
        options: Section ``gateway`` of the settings.
        control: Requests to the controllers.
        dispatcher: Decisions on submissions, read for the status.
        holder: Lease and view of the configuration.
        draining: Whether callers should go elsewhere.
        closing: Whether nothing more is admitted.
    """

    clock: clock.Clock
    options: options.GatewayOptions
    control: control.Control
    dispatcher: dispatcher.Dispatcher
    holder: leaseholder.LeaseHolder
    draining: bool
    closing: bool

    @property
    def is_ready(self) -> bool:
        """Whether callers should be sent here."""

    def create_submission_id(self) -> str:
        """Return a submission id that is unique over gateways and incarnations."""

    def submit(
        self, submission: submissions.Submission
    ) -> asyncio.Future[submissions.Answer]:
        """Ask for admission of a submission."""

    async def submit_keyed(
        self, submission: submissions.Submission, key: parsing.IdempotencyKey
    ) -> submissions.Answer | answers.KeyConflict:
        """Run a submission under its key, or attach to the one that holds it."""

    async def find_job(self, name: str, account: str) -> submissions.Answer | None:
        """Return the answer of a job, with outcome ``running`` if it goes on."""

    def cancel_job(self, name: str, account: str) -> bool:
        """Cancel a job; one that has ended stays as it is."""

    def discard_answer(self, name: str) -> None:
        """Drop an answer that nobody will ask for again."""
