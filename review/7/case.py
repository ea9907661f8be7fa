"""A machine of the core is replaced; 1 s after its removal another one loses its disk."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import deployment as deployments  # noqa: E402

CATCH_UP_S = deployments.BOUNDS["CatchUpS"]
RECOVERY_S = deployments.BOUNDS["RecoveryS"]
REMOVED = "core-1"
WIPED = "core-2"
MARGIN_S = 4.0
"""Time beyond `CATCH_UP_S` that the successor is left in calm, in s."""
PAUSE_S = 1.0
"""Time from the removal to the loss of the disk, in s."""
DOWN_S = 1.0
READ_S = 30.0
"""Time for which the operator reads the configuration at the end, in s."""


async def play(deployment: deployments.Deployment, has_trouble: bool) -> list[str]:
    """Replace a machine of the core, and read the configuration back at the end."""
    successor = deployment.add_controller(4)
    await deployment.start_process(successor)
    await asyncio.sleep(CATCH_UP_S + MARGIN_S)
    await deployment.put_configuration()
    await deployment.kill(REMOVED)
    del deployment.processes[REMOVED]
    if has_trouble:
        await asyncio.sleep(PAUSE_S)
        await deployment.kill(WIPED)
        deployment.wipe(WIPED)
        deployment.write_settings(WIPED, deployments.DOMAINS[1], False)
        await asyncio.sleep(DOWN_S)
        await deployment.start_process(WIPED)
    await asyncio.sleep(RECOVERY_S)
    names = deployment.list_names("controller")
    end_s = time.monotonic() + READ_S
    number = 0
    while time.monotonic() < end_s:
        name = names[number % len(names)]
        number += 1
        answer = await deployments.call(
            deployment.control(name), "GET", "/amaranthspar/config/get"
        )
        deployment.record.write(
            f"operator: GET config/get from {name}: {answer.status or answer.error}"
        )
        if answer.status == 200:
            version = (answer.body or {}).get("Version")
            if version == deployment.version:
                return []
            return [f"CONFIG: version {version} is read back, not {deployment.version}"]
        await asyncio.sleep(0.5)
    return [
        f"CONFIG: version {deployment.version} was acknowledged and is not read back in "
        f"{READ_S:.0f} s ({number} reads of {len(names)} machines that run), "
        f"{RECOVERY_S} s after the last machine is back"
    ]


deployments.run_case(FOLDER, play)
