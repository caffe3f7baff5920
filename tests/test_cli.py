import inspect
import json
from dataclasses import fields

import pytest

from lagoonlatch.cli import PLACE_BY_COMMAND, find_command, run
from lagoonlatch.config.codec import encode
from lagoonlatch.environment import flags_of, with_environment
from lagoonlatch.events import EventKind
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.settings import DaemonSettings
from tests.config.samples import sample, with_item
from tests.operators.fleet import FakeDaemon, serving

_SERVE = [
    "serve",
    *("--vm=norte-1-a", "--address=127.0.0.1", "--data-centre=norte-1"),
    *("--region=norte", "--platform=127.0.0.1:2379"),
]


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "fleet.json"
    path.write_bytes(encode(sample()))
    return path


def _one_error_line(capsys):
    captured = capsys.readouterr()
    assert captured.out == ""
    (line,) = captured.err.splitlines()
    return line


def test_help_names_every_command(capsys):
    assert run(["--help"], {}) == ExitCode.DONE

    output = capsys.readouterr().out
    assert all(command in output for command in PLACE_BY_COMMAND)
    assert "exit codes:" in output


@pytest.mark.parametrize("command", PLACE_BY_COMMAND)
def test_help_of_each_command_describes_each_flag(capsys, command):
    assert run([command, "--help"], {}) == ExitCode.DONE

    output = capsys.readouterr().out
    assert all(flag in output for flag in flags_of(find_command(command)))


@pytest.mark.parametrize("command", PLACE_BY_COMMAND)
def test_help_names_the_defaults_that_the_functions_have(capsys, command):
    run([command, "--help"], {})

    output = capsys.readouterr().out
    for name, parameter in inspect.signature(find_command(command)).parameters.items():
        if parameter.default not in (inspect.Parameter.empty, "", (), None):
            text = output.partition(f"--{name.replace('_', '-')} ")[2]
            assert (
                f"{parameter.default:.15g}" in text
                if isinstance(parameter.default, int | float)
                else str(parameter.default) in text
            )


def test_every_setting_is_a_flag_of_serve():
    names = ["--" + field.name.replace("_", "-") for field in fields(DaemonSettings)]

    assert list(flags_of(find_command("serve"))) == names


def test_a_flag_wins_over_the_environment():
    serve = find_command("serve")
    environment = {"LAGOONLATCH_VM": "b", "LAGOONLATCH_SEEDS": "1.1.1.1:1, 2.2.2.2:2"}

    assert with_environment(serve, ["--vm=a"], environment) == [
        "--vm=a",
        *("--seeds", "1.1.1.1:1", "2.2.2.2:2"),
    ]
    assert with_environment(serve, ["--vm", "a", "--seeds"], environment) == [
        *("--vm", "a", "--seeds"),
    ]
    assert with_environment(serve, [], {"LAGOONLATCH_VM": "b"}) == ["--vm=b"]


@pytest.mark.parametrize(
    ("arguments", "environment", "quoted"),
    [
        (["fly"], {}, "invalid choice: 'fly'"),
        (["serve"], {}, "required: --vm, --address"),
        ([*_SERVE, "--wings=2"], {}, "unrecognized arguments: --wings=2"),
        ([*_SERVE, "--vms-port=x"], {}, "--vms-port: invalid int value: 'x'"),
        (_SERVE, {"LAGOONLATCH_VMS_PORT": "x"}, "(from LAGOONLATCH_VMS_PORT)"),
        ([*_SERVE, "--vms-port=70000"], {}, "vms_port 70000 is no port; valid: 1 to"),
        ([*_SERVE, "--address=here"], {}, "address 'here' is no IP address"),
        ([*_SERVE, "--platform=here"], {}, "platform 'here' is no IP:port"),
        ([*_SERVE, "--log-format=x"], {}, "valid: json, console"),
        ([*_SERVE, "--selection=x"], {}, "unknown selection policy 'x'; valid: "),
        ([*_SERVE, "--limiter=x"], {}, "unknown limiter 'x'; valid: "),
        ([*_SERVE, "--queue=x"], {}, "valid: deficit-round-robin, first-come"),
        (["status"], {}, "give --platform IP:port or --vm IP:port"),
        (["status", "--vm=x"], {}, "--vm 'x' is no IP:port"),
        (["status", "--output=x"], {}, "choose from 'text', 'json'"),
        (["events"], {"LAGOONLATCH_PLATFORM": "x"}, "--platform 'x' is no IP:port"),
        (["check", "/no/such/file"], {}, "/no/such/file: No such file"),
        (["where", "x", "h", "/"], {}, "vm 'x' is no IP:port"),
        (["drain", "v"], {}, "give --platform IP:port or --vm IP:port"),
    ],
)
def test_bad_input_gets_one_line_and_exit_code_2(
    capsys, arguments, environment, quoted
):
    assert run(arguments, environment) == ExitCode.BAD_INPUT

    assert quoted in _one_error_line(capsys)


def test_check_of_a_valid_configuration(capsys, document):
    assert run(["check", str(document)], {}) == ExitCode.DONE

    assert "valid; 2 data centres, 2 organisations" in capsys.readouterr().out


def test_check_quotes_place_value_and_valid_ones(capsys, document):
    bad = with_item(sample(), "organisations_by_id", "dojo", rate=-5.0)
    document.write_bytes(encode(bad))

    assert run(["check", str(document)], {}) == ExitCode.BAD_INPUT

    line = _one_error_line(capsys)
    assert "$.organisations_by_id.dojo.rate: -5.0 is not valid; valid: above 0" in line


def test_check_of_no_json(capsys, document):
    document.write_bytes(b"{")

    assert run(["check", str(document)], {}) == ExitCode.BAD_INPUT

    assert "malformed" in _one_error_line(capsys)


def test_status_prints_the_fleet(capsys):
    up, down = FakeDaemon("norte-1-a"), FakeDaemon("norte-1-b")
    with serving(down):
        pass
    with serving(up):
        arguments = ["status", "--vm", up.endpoint, down.endpoint]
        assert run(arguments, {}) == ExitCode.FAILED

    heading, first, second = capsys.readouterr().out.splitlines()
    assert heading.split()[:2] == ["VM", "DATA"]
    assert first.split()[:5] == ["norte-1-a", "norte-1", "norte", "3", "serving"]
    assert "no answer: " in second


def test_status_as_json(capsys):
    daemon = FakeDaemon("norte-1-a")
    with serving(daemon):
        arguments = ["status", "--output=json", "--vm", daemon.endpoint]
        assert run(arguments, {}) == ExitCode.DONE

    (status,) = json.loads(capsys.readouterr().out).values()
    assert status["configuration_version"] == 3


def test_events_are_merged_in_order(capsys):
    daemons = FakeDaemon("norte-1-a"), FakeDaemon("sul-1-a")
    for daemon in daemons:
        daemon.log.record(EventKind.VM_STARTED, daemon.vm)
    daemons[0].log.record(EventKind.PEER_SILENT, "sul-1-a", after="3000")
    with serving(*daemons):
        endpoints = [daemon.endpoint for daemon in daemons]
        assert run(["events", "--vm", *endpoints], {}) == ExitCode.DONE

    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in lines] == [
        *("vm-started", "vm-started", "peer-silent"),
    ]
    assert lines[2].endswith("peer-silent  sul-1-a  after=3000")


def test_drain(capsys):
    daemon = FakeDaemon("norte-1-a")
    with serving(daemon):
        assert run(["drain", daemon.endpoint], {}) == ExitCode.DONE

    assert daemon.status.leaving
    assert "norte-1-a: leaving, 0 requests in flight" in capsys.readouterr().out
