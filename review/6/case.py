"""Two machines of the core are replaced, the new ones first; later a disk is lost."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

import deployment as deployments  # noqa: E402

CATCH_UP_S = deployments.BOUNDS["CatchUpS"]
GRACE_S = deployments.BOUNDS["GraceS"]
RECOVERY_S = deployments.BOUNDS["RecoveryS"]
REMOVED = ("core-1", "core-2")
WIPED = "core-3"
CALM_S = CATCH_UP_S + 2.0
"""Time of calm after each step, in s."""
DOWN_S = 1.0
READ_S = 25.0
"""Time for which the operator reads the configuration at the end, in s."""


async def play(deployment: deployments.Deployment, has_trouble: bool) -> list[str]:
    """Replace two machines of the core, and read the configuration back at the end."""
    for number in (4, 5):
        await deployment.start_process(deployment.add_controller(number))
        await asyncio.sleep(CALM_S)
    for name in REMOVED:
        deployment.send_signal(name, signal.SIGTERM)
        child = deployment.processes[name].child
        try:
            async with asyncio.timeout(GRACE_S):
                await child.wait()
        except TimeoutError:
            await deployment.kill(name)
        deployment.record.write(
            f"{name}: removed for good, exit code {child.returncode}"
        )
        del deployment.processes[name]
        await asyncio.sleep(CALM_S)
    await deployment.put_configuration()
    if has_trouble:
        await deployment.kill(WIPED)
        deployment.wipe(WIPED)
        deployment.write_settings(WIPED, deployments.DOMAINS[2], False)
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
