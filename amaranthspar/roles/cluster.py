"""All roles and stand-in upstreams in one process, connected over loopback."""

import asyncio
import pathlib

import attrs

from amaranthspar import clock, configuration, ports
from amaranthspar.roles import controller, gateway, sidecar
from amaranthspar.schema import options
from amaranthspar.upstreams import standin
from amaranthspar.web import tokens

DOMAINS = ("gyor", "pecs", "veszprem")
CONTROLLERS = 3
GATEWAYS = 2
UPSTREAMS = 9
SLOTS = 8
CONNECTIONS = 64
SERVICES = ["lookup", "recalculate", "hold"]
HOST = "127.0.0.1"
READY_POLL_MS = 20
DRAIN_MS = 200


def build_configuration(token: str) -> configuration.Configuration:
    """Return the configuration that the cluster starts with.

    Args:
        token: Token of its only account, which is also an operator account.
    """
    result = configuration.Configuration()
    result.add_service("lookup", idempotent=True)
    result.add_service("recalculate", idempotent=True, objective="completion")
    result.add_service("hold")
    for domain in DOMAINS:
        result.add_domain(domain)
    result.add_team("field")
    digest = tokens.hash_token(token)
    return result.add_account("field", team="field", token_hash=digest, operator=True)


@attrs.define(slots=True)
class Cluster:
    """Controllers, gateways, sidecars and stand-in upstreams in one event loop.

    Attributes:
        folder: Folder for the data folders of the controllers.
        token: Token of the account.
        ports: HTTP ports of the gateways.
        ledger_upstreams: Number of additional upstreams, in the group ``ledger``.
        trace_endpoint: OTLP endpoint; empty for no traces.
        record: Starts of each task on the stand-ins.
        controllers: Controllers started.
        gateways: Gateways started.
        sidecars: Sidecars started.
        stand_ins: Stand-in upstreams started.
    """

    folder: pathlib.Path
    token: str
    ports: list[int]
    ledger_upstreams: int = 0
    trace_endpoint: str = ""
    record: standin.StartRecord = attrs.field(factory=standin.StartRecord)
    controllers: list[controller.Controller] = attrs.field(factory=list)
    gateways: list[gateway.Gateway] = attrs.field(factory=list)
    sidecars: list[sidecar.Sidecar] = attrs.field(factory=list)
    stand_ins: list[standin.StandIn] = attrs.field(factory=list)

    async def start(self) -> None:
        """Start every role and wait until each gateway is ready."""
        addresses = ports.find_addresses(CONTROLLERS)
        await self._start_controllers(addresses)
        for number in range(UPSTREAMS + self.ledger_upstreams):
            await self._start_sidecar(number, addresses)
        # A gateway that is ready must have a route to every upstream.
        while not self.is_registered:
            await asyncio.sleep(READY_POLL_MS / 1000)
        for number, port in enumerate(self.ports):
            await self._start_gateway(number, port, addresses)
        while not self.is_ready:
            await asyncio.sleep(READY_POLL_MS / 1000)

    @property
    def is_ready(self) -> bool:
        """Whether every gateway is ready and has a route to every sidecar."""
        return all(
            item.is_ready and len(item.dispatcher.routes) == len(self.sidecars)
            for item in self.gateways
        )

    @property
    def is_registered(self) -> bool:
        """Whether every sidecar holds a lease."""
        now_ms = clock.Clock().read_monotonic()
        return all(item.holder.is_valid(now_ms) for item in self.sidecars)

    async def stop(self) -> None:
        """Stop all roles gracefully: gateways first, then sidecars and controllers."""
        await asyncio.gather(*(item.stop() for item in self.gateways))
        await asyncio.gather(*(item.stop() for item in self.sidecars))
        await asyncio.gather(*(item.stop() for item in self.controllers))
        await asyncio.gather(*(item.close() for item in self.stand_ins))

    async def _start_controllers(self, addresses: list[str]) -> None:
        bootstrap = self.folder / "bootstrap.ini"
        bootstrap.write_text(str(build_configuration(self.token)))
        replicas = [f"c{number + 1}={item}" for number, item in enumerate(addresses)]
        for number, address in enumerate(addresses):
            name = f"controller-{number + 1}"
            process = options.ProcessOptions(name, address, addresses, DOMAINS[number])
            section = options.ControllerOptions(
                f"c{number + 1}", replicas, str(self.folder / name), str(bootstrap)
            )
            role = controller.Controller(process, options.LinkOptions(), section)
            await role.start()
            self.controllers.append(role)

    async def _start_sidecar(self, number: int, controllers: list[str]) -> None:
        listen, upstream = ports.find_addresses(2)
        domain = DOMAINS[number % len(DOMAINS)]
        stand_in = standin.StandIn(f"upstream-{number + 1}", domain, self.record)
        await stand_in.open(upstream)
        self.stand_ins.append(stand_in)
        process = options.ProcessOptions(
            f"sidecar-{number + 1}",
            listen,
            controllers,
            domain,
            trace_endpoint=self.trace_endpoint,
            trace_ratio=float(bool(self.trace_endpoint)),
        )
        section = options.SidecarOptions(
            upstream,
            worker=f"worker-{number + 1}",
            rack=f"rack-{number // 3 + 1}",
            group="main" if number < UPSTREAMS else "ledger",
            services=SERVICES,
            slots=SLOTS,
            connections=CONNECTIONS,
        )
        role = sidecar.Sidecar(process, options.LinkOptions(), section)
        await role.start()
        self.sidecars.append(role)

    async def _start_gateway(
        self, number: int, port: int, controllers: list[str]
    ) -> None:
        listen = ports.find_addresses()[0]
        domain = DOMAINS[number % len(DOMAINS)]
        process = options.ProcessOptions(
            f"gateway-{number + 1}",
            listen,
            controllers,
            domain,
            trace_endpoint=self.trace_endpoint,
            trace_ratio=float(bool(self.trace_endpoint)),
        )
        section = options.GatewayOptions(
            f"{HOST}:{port}", tokens.hash_token(self.token), DRAIN_MS
        )
        role = gateway.Gateway(process, options.LinkOptions(), section)
        await role.start()
        self.gateways.append(role)
