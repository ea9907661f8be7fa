"""Classes of the schema file ``schema/options.yaml``; generated."""

from __future__ import annotations

from typing import Annotated, Any, TypeAlias

import attrs
import msgspec

Options: TypeAlias = Any


@attrs.frozen(slots=True)
class ProcessOptions:
    """Section `process` of the settings file of every role.

    Attributes:
        name: Unique process name.
        listen: Address at which the process listens for links, as in `127.0.0.1:7000`.
        controllers: Addresses of the controllers.
        failure_domain: Failure domain of this host.
        statsd: Address of the StatsD server; empty for no metrics.
        trace_endpoint: OTLP endpoint for traces; empty for no export.
        trace_ratio: Share of requests that are traced, from 0 to 1.
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
    """Section `links` of a settings file.

    Attributes:
        heartbeat_ms: Interval between heartbeats of a link in ms.
        certificate: PEM file with the certificate and key of this process; empty for no TLS.
        authority: PEM file with the certificate authority that signs the certificates of peers.
    """

    heartbeat_ms: Annotated[int, msgspec.Meta(ge=10, le=60000)] = 500
    certificate: str = ""
    authority: str = ""


@attrs.frozen(slots=True)
class GatewayOptions:
    """Section `gateway` of a settings file.

    Attributes:
        http: Address at which the gateway listens for HTTP.
        operator_token_hash: SHA-256 of the token of the first operator in hex.
        drain_ms: Time between reporting not ready and closing in ms.
        max_body_bytes: Largest accepted request body in bytes.
        read_budget_mb: Memory in MB for the requests of all clients that are being read or handled.
        max_connections: Largest number of open HTTP connections.
    """

    http: str
    operator_token_hash: Annotated[
        str, msgspec.Meta(pattern=r"^([0-9A-Fa-f]{64})?$", description="64 hex digits")
    ] = ""
    drain_ms: Annotated[int, msgspec.Meta(ge=0, le=3600000)] = 1000
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=1073741824)] = 8388608
    read_budget_mb: Annotated[int, msgspec.Meta(ge=1, le=1048576)] = 128
    max_connections: Annotated[int, msgspec.Meta(ge=16, le=1000000)] = 4096


@attrs.frozen(slots=True)
class SidecarOptions:
    """Section `sidecar` of a settings file.

    Attributes:
        upstream: Address of the upstream's HTTP server.
        worker: Name of the worker.
        rack: Rack of the worker.
        services: Services served by the upstream.
        platform: Address of the platform's HTTP server, which stops tasks; empty for none.
        group: Name of the upstream group.
        slots: Largest number of tasks that run at the same time.
        connections: Largest number of connections that are open at the same time.
        cores: Number of processor cores.
        memory_mb: Memory in MB.
        accelerators: Number of accelerators.
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
    """Section `controller` of a settings file.

    Attributes:
        replica: Replica id; a host with a new disk needs a new one.
        replicas: Initial replicas as `id=address`.
        data: Path of the data folder.
        bootstrap: File with the initial configuration; empty for none.
        lease_ms: Duration of a lease in ms.
        election_ms: Shortest election timeout in ms.
        heartbeat_ms: Interval between heartbeats of the leader in ms.
        detects_copies: Whether a data folder whose inode numbers have changed is treated as a copy; false for disks that are restored with other inode numbers.
        tolerated_losses: Number of controllers that may be lost at the same time; 0 for a minority of the initial replicas.
        join: Controllers that add this replica if the set does not contain it; empty to wait for an operator.
    """

    replica: str
    replicas: list[str]
    data: str
    bootstrap: str = ""
    lease_ms: Annotated[int, msgspec.Meta(ge=100, le=60000)] = 3000
    election_ms: Annotated[int, msgspec.Meta(ge=20, le=60000)] = 600
    heartbeat_ms: Annotated[int, msgspec.Meta(ge=5, le=60000)] = 100
    detects_copies: bool = True
    tolerated_losses: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    join: list[str] = attrs.field(factory=list)


@attrs.frozen(slots=True)
class AccessOptions:
    """Section `access` of the access file of an operator.

    Attributes:
        gateways: URLs of the gateways.
        token: Bearer token.
    """

    gateways: list[str] = attrs.field(factory=list)
    token: str = ""
