"""Tests of the HTTP bodies and the settings of the platform."""

import pytest

from amaranthspar import errors
from amaranthspar.platform import settings, wire
from amaranthspar.schema import runmessages
from tests import builders_platform as builders, builders_scheduling

QUEUE = builders_scheduling.build_queue()


def test_settings_are_parsed_and_unknown_keys_ignored():
    found = settings.parse_settings(builders.SETTINGS)
    assert found.host == "front-east-1"
    assert found.failure_domain == "east"
    assert found.is_first_start
    assert (found.grace_ms, found.max_lease_ms) == (6_000, 1_000)
    assert found.find_link_address("gateway") == "127.0.0.1:7721"
    assert found.list_controllers() == ["127.0.0.1:7720", "127.0.0.2:7720"]


@pytest.mark.parametrize(
    ("line", "losses"), [("", 0), ("FaultTolerance.Machines=2\n", 2)]
)
def test_tolerated_losses_are_read_from_the_settings(line, losses):
    assert settings.parse_settings(builders.SETTINGS + line).tolerated_losses == losses


@pytest.mark.parametrize(
    ("line", "factor"),
    [("", 1.5), ("Bounds.SpreadFactor=3\n", 3.0), ("Bounds.SpreadFactor=1\n", 1.0)],
)
def test_spread_factor_is_read_from_the_settings(line, factor):
    assert settings.parse_settings(builders.SETTINGS + line).spread_factor == factor


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", (0, 0)),
        ("Limits.MemoryMb=160\nLimits.MaxFds=1638\n", (160, 1_638)),
        ("Limits.MemoryMb=\nLimits.MaxFds=-1\n", (0, 0)),
    ],
)
def test_limits_of_the_host_may_be_missing(text, expected):
    """Settings of earlier releases state none; defaults apply."""
    found = settings.parse_settings(builders.SETTINGS + text)
    assert (found.memory_mb, found.max_fds) == expected


def test_settings_error_lists_every_fault():
    text = builders.SETTINGS.replace("Ip=127.0.0.1\n", "").replace(
        "GraceS=6", "GraceS=x"
    )
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse_settings(text)
    assert caught.value.faults == ["Ip: missing", "Bounds.GraceS = x: not a number"]


@pytest.mark.parametrize(
    "old, new, fault",
    [
        ("GraceS=6", "GraceS=1e400", "Bounds.GraceS = 1e400: not a number"),
        ("7720,", "99999,", "InternalPorts = 99999: no port with room for the links"),
        ("7720,", "65534,", "InternalPorts = 65534: no port with room for the links"),
        ("7720,", "7_720,", "InternalPorts = 7_720: no port with room for the links"),
        ("InternalPorts=7720,7735\n", "", "InternalPorts: missing"),
        (
            "StopTimeoutMs=50",
            "SpreadFactor=0.9",
            "Bounds.SpreadFactor = 0.9: not a number of at least 1",
        ),
        (
            "StopTimeoutMs=50",
            "SpreadFactor=nan",
            "Bounds.SpreadFactor = nan: not a number of at least 1",
        ),
        (
            "StopTimeoutMs=50",
            "SpreadFactor=three",
            "Bounds.SpreadFactor = three: not a number of at least 1",
        ),
        (
            "Front=127.0.0.1:8161",
            "Front=127.0.0.1:81610",
            "Listen.Front = 127.0.0.1:81610: no address with a port",
        ),
        (
            "Addr=127.0.0.1:8167",
            "Addr=127.0.0.1",
            "Listen.ReadinessAddr = 127.0.0.1: no address with a port",
        ),
    ],
)
def test_settings_with_odd_number_or_port_are_a_fault(old, new, fault):
    text = builders.SETTINGS.replace(old, new)
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse_settings(text)
    assert caught.value.faults == [fault]


def test_settings_that_are_not_utf8_are_a_fault(tmp_path):
    path = tmp_path / "settings"
    path.write_bytes(builders.SETTINGS.encode() + b"Other=\xff\n")
    with pytest.raises(errors.SettingsError):
        settings.load_settings(path)


def test_job_body_is_decoded_to_request():
    job = wire.decode_job(builders.build_job(3), "00ff00ff00ff00ff", QUEUE)
    assert not job.unsupported
    (step,) = job.request.steps
    assert (step.count, step.estimate_ms) == (3, 50)
    assert step.needs == runmessages.Resources(1000, 64, 0)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"Spec":1,"Steps":[]}',
        b'{"Steps":[]}',
        b'{"Steps":[{"Count":0}]}',
        b'{"Steps":[{"Count":1,"After":[0]}]}',
        b'{"Steps":[{"Count":1,"After":[-1]}]}',
        b'{"Steps":[{"Count":1,"Cpu":-1}]}',
        b'{"Steps":[{"Count":1000000}]}',
        b'{"Steps":[{"Count":18446744073709551616}]}',
        b'{"Steps":[{"Count":1,"Cpu":9007199254740992}]}',
        b'{"Steps":[{"Count":1,"MemMb":-1}]}',
        b'{"Steps":[{"Count":1,"Gpu":1e400}]}',
        b'{"Steps":[{"Count":1,"EstimateMs":9007199254740992}]}',
        b'{"Steps":[{"Count":1,"MaxPerServer":-1}]}',
        b'{"Steps":[{"Count":1}],"RepeatCount":-1}',
        b'{"Steps":[{"Count":1,"DataRack":"\xff"}]}',
        b"[" * 100_000,
    ],
)
def test_invalid_job_body_is_rejected(body):
    with pytest.raises(wire.BodyError):
        wire.decode_job(body, "00ff00ff00ff00ff", QUEUE)


@pytest.mark.parametrize(
    "changes",
    [
        {"BestEffort": False},
        {"Persistent": True},
        {"RepeatCount": 2},
        {"Steps": [{"Count": 2, "Gang": True}]},
    ],
)
def test_unsupported_feature_is_reported(changes):
    job = wire.decode_job(builders.build_job(**changes), "00ff00ff00ff00ff", QUEUE)
    assert job.unsupported


def test_configuration_is_decoded_to_routing_table():
    table = wire.decode_configuration(builders.build_configuration(7))
    assert table.version == 7
    route = table.find("DESK.example:8080", "/quotes/00ff")
    assert route.queue.stretch == 1.6
    assert table.find("desk.example", "/quote") is None
    assert table.find("other.example", "/quotes/") is None


def test_longest_matching_prefix_is_chosen():
    routes = [
        builders.build_route(),
        builders.build_route(Name="r-2", PathPrefix="/quotes/rush/"),
    ]
    table = wire.decode_configuration(builders.build_configuration(routes=routes))
    assert table.find("desk.example", "/quotes/rush/1").queue.name == "r-2"
    assert table.find("desk.example", "/quotes/1").queue.name == "r-1"


@pytest.mark.parametrize(
    "body",
    [
        builders.build_configuration()[:-20],
        builders.build_configuration(routes=[builders.build_route(Service="none")]),
        builders.build_configuration(routes=[builders.build_route(TimeoutMs=0)]),
        builders.build_configuration(
            routes=[builders.build_route(), builders.build_route(Name="r-2")]
        ),
        builders.build_configuration("one"),
        builders.build_configuration(-2),
        builders.build_configuration(2**53),
        builders.build_configuration(2**64),
        builders.build_configuration(10**400),
        builders.build_configuration(1.5),
        builders.build_configuration(routes=[builders.build_route(TimeoutMs=2**64)]),
        builders.build_configuration(routes=[builders.build_route(TimeoutMs=-1)]),
        builders.build_configuration(routes=[builders.build_route(Stretch=1e308)]),
        builders.build_configuration(routes=[builders.build_route(Stretch=-1)]),
        builders.build_configuration(routes=[builders.build_route(Priority=2**63)]),
        builders.build_configuration(routes=[builders.build_route(MaxAttempts=2**63)]),
        builders.build_configuration(
            routes=[builders.build_route(TargetLatencyMs=10**400)]
        ),
        builders.build_configuration().replace(b"1.6", b"1e400"),
        builders.build_configuration(Limits="x").replace(b'"x"', b'"\xff"'),
        builders.build_configuration(Limits="x").replace(b'"x"', b"1e400"),
        builders.build_configuration(Limits="x").replace(b'"x"', b"[" * 64 + b"]" * 64),
        builders.build_configuration(Limits="x").replace(b'"x"', b"[" * 100_000),
        b"[" * 100_000,
        b"[]",
        b"",
    ],
)
def test_invalid_configuration_is_rejected(body):
    with pytest.raises(wire.BodyError):
        wire.decode_configuration(body)


def test_configuration_within_bounds_is_decoded():
    route = builders.build_route(
        Priority=-1, MaxAttempts=0, Stretch=2, TargetLatencyMs=2**53 - 1
    )
    limits = {"text": "[" * 100 + '"' + "{" * 100}
    body = builders.build_configuration(2**53 - 1, [route], Limits=limits, Other="x")
    body = body.replace(b'"x"', b"[" * 63 + b"]" * 63)
    assert wire.decode_configuration(body).version == 2**53 - 1


def test_heartbeat_is_decoded():
    heartbeat = wire.decode_heartbeat(builders.build_heartbeat(4, 9, State="draining"))
    assert (heartbeat.sequence, heartbeat.born_ms, heartbeat.is_leaving) == (4, 9, True)
    assert heartbeat.capacity == runmessages.Resources(8000, 8192, 0)


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "dancing"},
        {"Seq": "4"},
        {"Capacity": None},
        {"Capacity": {"Cpu": "many"}},
        {"born": 1.5},
        {"born": -1},
        {"born": 2**53},
        {"Seq": 2**64},
        {"Seq": -1},
        {"Seq": float("nan")},
        {"Capacity": {"Cpu": -1, "MemMb": 1}},
        {"Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 2**53}},
        {"Labels": [1]},
        {"Labels": "a"},
        {"Labels": ["a"] * 65},
        {"Labels": ["a" * 257]},
        {"Version": 1},
        {"Slots": "many"},
        {"ClockMs": -1},
        {"ColdRemainingMs": []},
        {"RemainingMs": 2**64},
        {"Address": None},
        {"Address": ""},
        {"Address": "127.0.0.1"},
        {"Address": "127.0.0.1:"},
        {"Address": "127.0.0.1:0"},
        {"Address": "127.0.0.1:65536"},
        {"Address": "127.0.0.1:99999"},
        {"Address": "127.0.0.1:-1"},
        {"Address": "127.0.0.1:8_0"},
        {"Address": "127.0.0.1:\u0663"},
        {"Address": "::1:80"},
    ],
)
def test_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(wire.BodyError):
        wire.decode_heartbeat(builders.build_heartbeat(**changes))


@pytest.mark.parametrize(
    "value",
    [b'"\xff"', b"1e400", b"[" * 100_000, b"[" * 100_000 + b"]" * 100_000, b"01"],
)
def test_heartbeat_that_cannot_be_read_in_full_is_rejected(value):
    body = builders.build_heartbeat(Other="x").replace(b'"x"', value)
    with pytest.raises(wire.BodyError):
        wire.decode_heartbeat(body)


@pytest.mark.parametrize(
    "changes",
    [
        {"born": 0},
        {"born": 1_900_000_000_000},
        {"Seq": 2**53 - 1},
        {"Labels": []},
        {"Address": "127.0.0.1:1"},
        {"Address": "127.0.0.1:65535"},
        {"Address": "[::1]:8080"},
    ],
)
def test_heartbeat_within_bounds_is_decoded(changes):
    wire.decode_heartbeat(builders.build_heartbeat(**changes))


def test_list_of_runs_is_decoded():
    body = (
        b'{"ClockMs":5,"born":3,"Running":[["t.0.0.1",2,"s",41,0]],'
        b'"Ended":[[58,"t.0.0.9",1,"done",""]]}'
    )
    listing = wire.decode_listing(body)
    assert (listing.clock_ms, listing.born_ms, listing.last) == (5, 3, 58)
    assert listing.running[0].name == runmessages.RunName("t.0.0.1", 2)
    assert listing.ends[0].outcome == "done"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b'{"ClockMs":5,"Running":[["t"]]}',
        b'{"ClockMs":5,"Ended":1}',
        b'{"ClockMs":-1}',
        b'{"ClockMs":9007199254740992}',
        b'{"ClockMs":5.5}',
        b'{"ClockMs":5,"born":-1}',
        b'{"ClockMs":5,"born":9007199254740992}',
        b'{"ClockMs":5,"Running":[["t",2,"s"]]}',
        b'{"ClockMs":5,"Running":[["t","2","s",41]]}',
        b'{"ClockMs":5,"Running":[["t",2.5,"s",41]]}',
        b'{"ClockMs":5,"Running":[["t",-1,"s",41]]}',
        b'{"ClockMs":5,"Running":[["t",1e308,"s",41]]}',
        b'{"ClockMs":5,"Running":[["t",2,"s",1e308]]}',
        b'{"ClockMs":5,"Running":[["t",2,"s",1e400]]}',
        b'{"ClockMs":5,"Running":[["t",2,"s",18446744073709551616]]}',
        b'{"ClockMs":5,"Ended":[[58,"t",1,"done"]]}',
        b'{"ClockMs":5,"Ended":[[9007199254740992,"t",1,"done",""]]}',
        b'{"ClockMs":5,"Ended":[[58,"t",18446744073709551616,"done",""]]}',
        b'{"ClockMs":5,"Running":[["\xff",2,"s",41]]}',
        b'{"ClockMs":5,"Running":' + b"[" * 100_000,
    ],
)
def test_invalid_list_of_runs_is_rejected(body):
    with pytest.raises(wire.BodyError):
        wire.decode_listing(body)


def test_rough_figure_and_later_fields_of_a_listed_run_are_accepted():
    body = b'{"ClockMs":5,"Running":[["t",2,"",41.5,1500.5,"new"]]}'
    (run,) = wire.decode_listing(body).running
    assert run.percent == 41


@pytest.mark.parametrize(
    "body", [b"", b"\xff", b'{"ClockMs":1e400}', b'{"ClockMs":-1}', b"[" * 100_000]
)
def test_malformed_answer_counts_as_one_without_fields(body):
    assert wire.decode_answer(body) == (0, "")
