"""The endpoint that explains placements: bounded queries, and a real process."""

import json

import pytest

from lagoonlatch.cli import run
from lagoonlatch.entry.placement_query import InvalidQueryError, read_placement_query
from lagoonlatch.exit_codes import ExitCode
from lagoonlatch.standins.entry_fleet import HOST, KEY, EntryFleet, ask, is_ready
from tests.entry.test_process import eventually
from tests.upstreams.processes import free_address


def test_query_is_decoded():
    question = read_placement_query(
        "host=Shop.Example:80&path=/a%20b?c&object=7", "Token secret"
    )
    assert (question.host, question.path) == ("shop.example", "/a b")
    assert (question.object_name, question.key) == ("7", "secret")
    assert read_placement_query("host=h&path=/", "").key is None


@pytest.mark.parametrize(
    ("query", "quoted"),
    [
        ("path=/", "'host' is missing"),
        ("host=h&path=a", "path 'a' is not valid; valid: begins with /"),
        ("host=h&path=/&key=1", "'key'; valid: host, path, object"),
        ("host=h&host=i&path=/", "'host' is given twice"),
        ("host=h&path=/&object=%C3%A9", "object '\\xe9' is not valid; valid: ASCII"),
        ("host=h&path=/" + "x" * 2_048, "has 2049 characters; valid: up to 2048"),
        ("x" * 8_193, "8193 characters; valid: up to 8192"),
    ],
)
def test_invalid_query_is_quoted_with_what_is_valid(query, quoted):
    with pytest.raises(InvalidQueryError) as error:
        read_placement_query(query, "")
    assert quoted in str(error.value)
    assert len(str(error.value)) < 200


def test_command_names_the_upstream_that_then_gets_the_request(tmp_path, capsys):
    key_file = tmp_path / "key"
    key_file.write_text(f"{KEY}\n")
    address = free_address()
    with EntryFleet() as fleet:
        fleet.command.append(f"--metrics-port={address.rpartition(':')[2]}")
        vm = fleet.start_vm("vm-9", "n-a", first=False)
        assert eventually(lambda: is_ready(vm))
        arguments = ["where", address, HOST, "/look/1", "--object=7"]
        arguments += ["--key-file", str(key_file)]
        assert run([*arguments, "--json"], {}) == ExitCode.DONE
        explanation = json.loads(capsys.readouterr().out)
        (service,) = explanation["services"]
        assert explanation["organisation"] == "dojo"
        assert service["decision"]["action"] == "send"
        assert fleet.runs("get-7") == 0
        assert ask(vm, "get-7") == 200
        chosen = fleet.instances_by_id[service["decision"]["upstream"]]
        assert chosen.runs_by_request["get-7"] == 1
        assert run(arguments, {}) == ExitCode.DONE
        output = capsys.readouterr().out
        assert "remembers the object" in output
        assert KEY not in output
        assert run(["where", address, HOST, "look"], {}) == ExitCode.BAD_INPUT
        assert "path 'look' is not valid" in capsys.readouterr().err
