"""Tests of what a job gateway hands on to its dispatcher and counts of its decisions."""

import asyncio

from amaranthspar import processes
from amaranthspar.observation import metering
from amaranthspar.roles import jobgateway
from amaranthspar.scheduling import jobevents
from amaranthspar.schema import runmessages
from tests import builders_scheduling as builders


def test_task_away_from_its_data_is_expected_and_counted_by_the_settings():
    # The factor was fixed in the code, whatever the settings of the platform said.
    async def run():
        meters = metering.Meters()
        process = processes.ProcessSettings("gate", "127.0.0.1:1", [])
        gateway = jobgateway.JobGateway(process, meters, 3.0)
        sent = []
        gateway._links.send = lambda peer, message: sent.append(message)
        peers = (builders.build_peer("one"),)
        gateway._step(jobevents.Found(peers, frozenset()))
        room = builders.build_room(labels=["a", "r1"])
        reports = runmessages.RunReports([], room)
        gateway._step(jobevents.Heard("one", 1, "one:1", reports))
        step = builders.build_step(1, 1.0, 20, data_rack="r0")
        request = builders.build_request(steps=[step])
        task = asyncio.ensure_future(gateway.submit(request))
        await asyncio.sleep(0)
        task.cancel()
        return sent, meters

    sent, meters = asyncio.run(run())
    starts = [item for item in sent if isinstance(item, runmessages.StartRuns)]
    assert [order.expected_ms for start in starts for order in start.orders] == [60]
    assert meters.placements == {"away": 1}
