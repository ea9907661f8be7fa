"""Classes of the schema file ``schema/options.yaml``; generated."""

from __future__ import annotations

from typing import Annotated, Any, TypeAlias

import attrs
import msgspec

Options: TypeAlias = Any


@attrs.frozen(slots=True)
class ProcessOptions:
    """Section `process` of every settings file.

    Attributes:
        name: Unique process name.
        listen: Address for links, as in `127.0.0.1:7000`.
        controllers: Addresses of the controllers.
        failure_domain: Failure domain of this host.
        statsd: StatsD address; empty for no metrics.
        trace_endpoint: OTLP endpoint; empty for no export.
        trace_ratio: Share of requests traced from 0 to 1.
    """

    name: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^[A-Za-z0-9_.-]+$", description="letters, digits and any of _.-"
        ),
    ]
    listen: str
    controllers: list[str]
    failure_domain: str
    statsd: str = ""
    trace_endpoint: str = ""
    trace_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0


@attrs.frozen(slots=True)
class LinkOptions:
    """Section `links`.

    Attributes:
        heartbeat_ms: Heartbeat interval in ms.
        certificate: PEM file with this process's certificate and key; empty for no TLS.
        authority: PEM file with the authority that signs peers.
    """

    heartbeat_ms: Annotated[int, msgspec.Meta(ge=10, le=60000)] = 500
    certificate: str = ""
    authority: str = ""


@attrs.frozen(slots=True)
class GatewayOptions:
    """Section `gateway`.

    Attributes:
        http: Address for HTTP.
        operator_token_hash: SHA-256 of the first operator's token in hex.
        drain_ms: Time between turning unready and closing in ms.
        max_body_bytes: Largest body accepted in bytes.
    """

    http: str
    operator_token_hash: Annotated[
        str, msgspec.Meta(pattern=r"^([0-9A-Fa-f]{64})?$", description="64 hex digits")
    ] = ""
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=3600000)] = 1000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=1073741824)] = 8388608


@attrs.frozen(slots=True)
class SidecarOptions:
    """Section `sidecar`.

    Attributes:
        upstream: Address of the upstream's HTTP server.
        worker: Name of the worker.
        rack: Rack of the worker.
        services: Services served.
        platform: Address of the platform's HTTP server, which stops tasks; empty for none.
        group: Upstream group.
        slots: Tasks that may run at once.
        connections: Connections that may be open at once.
        cores: Processor cores.
        memory_mb: Memory in MB.
        accelerators: Accelerators.
    """

    upstream: str
    worker: str
    rack: str
    services: list[str]
    platform: str = ""
    group: str = "main"
    slots: Annotated[int, msgspec.Meta(ge=1)] = 8
    connections: Annotated[int, msgspec.Meta(ge=1)] = 64
    cores: Annotated[int, msgspec.Meta(ge=1)] = 16
    memory_mb: Annotated[int, msgspec.Meta(ge=1)] = 65536
    accelerators: Annotated[int, msgspec.Meta(ge=0)] = 0


@attrs.frozen(slots=True)
class ControllerOptions:
    """Section `controller`.

    Attributes:
        replica: Replica id; a host with a new disk takes a new one.
        replicas: First replicas as `id=address`.
        data: Data folder.
        bootstrap: File with the first configuration; empty for none.
        lease_ms: Length of a lease in ms.
        election_ms: Shortest election timeout in ms.
        heartbeat_ms: Heartbeat interval among replicas in ms.
        detects_copies: Whether a data folder whose file numbers have changed counts as a copy; false on disks that are restored under other numbers.
        join: Controllers that take a replica in which the set does not name; empty to wait for an operator.
    """

    replica: str
    replicas: list[str]
    data: str
    bootstrap: str = ""
    lease_ms: Annotated[int, msgspec.Meta(ge=100, le=60000)] = 3000
    election_ms: Annotated[int, msgspec.Meta(ge=20, le=60000)] = 600
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=5, le=60000)] = 100
    detects_copies: bool = True
    join: list[str] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class AccessOptions:
    """Section `access` of an operator's file.

    Attributes:
        gateways: URLs of the gateways.
        token: Bearer token.
    """

    gateways: list[str] = attrs.field(factory=list)
    token: str = ""
