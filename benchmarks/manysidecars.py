"""Process that runs many real sidecars with one stand-in for their upstream.

Run as ``python -m benchmarks.manysidecars --controllers A --first N --count N ...``.
"""

import argparse
import asyncio
import signal

from amaranthspar import loop, ports
from amaranthspar.roles import sidecar
from amaranthspar.schema import options
from amaranthspar.upstreams import standin

SLOTS = 8


async def _serve(arguments: argparse.Namespace) -> int:
    stopping = asyncio.Event()
    running = asyncio.get_running_loop()
    for wanted in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(wanted, stopping.set)
    address = ports.find_addresses()[0]
    domains = arguments.domains.split(",")
    stand_in = standin.StandIn("upstream", domains[0], standin.StartRecord())
    await stand_in.open(address)
    for number in range(arguments.first, arguments.first + arguments.count):
        listen = ports.find_addresses()[0].replace(ports.HOST, arguments.host)
        domain = domains[number % len(domains)]
        process = options.ProcessOptions(
            f"sidecar-{number + 1}", listen, arguments.controllers.split(","), domain
        )
        section = options.SidecarOptions(
            address, f"worker-{number + 1}", "rack-1", [arguments.service], slots=SLOTS
        )
        role = sidecar.Sidecar(process, options.LinkOptions(), section)
        await role.start()
        await asyncio.sleep(0)
    await stopping.wait()
    return 0


def main() -> int:
    """Run the sidecars until SIGTERM, then exit without a drain."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--controllers", required=True)
    parser.add_argument("--host", default=ports.HOST, help="loopback address")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--domains", required=True)
    parser.add_argument("--service", required=True)
    return loop.run_loop(_serve(parser.parse_args()))


if __name__ == "__main__":
    raise SystemExit(main())
