"""Builders of heartbeats for the incarnations of an upstream."""

from amaranthspar.scheduling import incarnations, resources, runevents


def build_registration(upstream_id="u", life=1, sequence=1, is_leaving=False):
    status = runevents.UpstreamKnown(
        f"{upstream_id}@{life}", resources.NONE, ("a",), is_leaving
    )
    return incarnations.Registration(upstream_id, sequence, status)


def build_confirmed(**heartbeat) -> incarnations.Incarnations:
    """Return incarnations of which ``u@1`` is confirmed."""
    known = incarnations.Incarnations(100)
    known.claim(build_registration(**heartbeat), 0)
    request = known.build_request()
    assert request is not None
    known.handle_list(request, "u@1")
    return known
