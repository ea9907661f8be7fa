"""Builders of test data for the decisions of a gateway."""

import random

from amaranthspar import configuration
from amaranthspar.dispatch import routing, submissions
from amaranthspar.membership import leaseholder
from amaranthspar.schema import messages

LEASE_MS = 100_000_000


def build_settings(**team: int) -> configuration.Configuration:
    settings = configuration.Configuration()
    settings.add_service("lookup", idempotent=True, queue_limit=100)
    settings.add_service("recalculate", idempotent=True, objective="completion")
    settings.add_service("hold")
    settings.add_team("field", **team)
    settings.add_team("office", weight=3)
    return settings.add_domain("gyor").add_domain("pecs")


def build_sidecar(
    name: str = "s1", domain: str = "gyor", slots: int = 2, incarnation: int = 1
) -> messages.Member:
    announcement = messages.Announcement(
        worker=f"worker-{name}",
        rack="rack-1",
        group="main",
        failure_domain=domain,
        services=["lookup", "recalculate", "hold"],
        slots=slots,
        connections=8,
        cores=16,
        memory_mb=1024,
        accelerators=0,
    )
    return messages.Member(
        name, "sidecar", incarnation, name, revision=0, announcement=announcement
    )


def build_route(
    name: str = "s1", domain: str = "gyor", limit: int = 2
) -> routing.Route:
    return routing.Route(build_sidecar(name, domain), credit_limit=limit)


def build_holder(*members: messages.Member, **team: int) -> leaseholder.LeaseHolder:
    gateway = messages.Member("g1", "gateway", 1, "g1", revision=0)
    holder = leaseholder.LeaseHolder(gateway, ["c"], 0, random.Random(1))
    grant_view(holder, list(members), build_settings(**team), 1)
    return holder


def grant_view(
    holder: leaseholder.LeaseHolder,
    members: list[messages.Member],
    settings: configuration.Configuration,
    version: int,
    now_ms: int = 0,
) -> None:
    sections = settings.list_sections()
    change = messages.ConfigurationChange(0, version, sections, [])
    membership = messages.MembershipChange(0, version, members, [])
    versions = (version, version, change, membership)
    holder.handle(messages.LeaseGranted(now_ms, LEASE_MS, 0, *versions), now_ms)


def build_submission(
    name: str = "r1",
    service: str = "lookup",
    count: int = 1,
    team: str = "field",
    deadline_ms: int = 10_000,
    expected_ms: int = 0,
    cores: int = 0,
) -> submissions.Submission:
    tasks = [submissions.Task(index, b"", expected_ms, cores) for index in range(count)]
    return submissions.Submission(
        name=name,
        service=service,
        account="a",
        team=team,
        caller=f"caller-{name}",
        desk="",
        is_job=service == "recalculate",
        content_type="application/json",
        admitted_ms=0,
        deadline_ms=deadline_ms,
        tasks=tasks,
    )
