import json

from lagoonlatch.operators.explain import explain, read_lines, tell_story

LINES = [
    ("00:01", "vm-1", "configuration_in_force", {"version": 3}),
    ("00:02", "vm-1", "configuration_in_force", {"version": 4}),
    ("00:02", "vm-2", "configuration_in_force", {"version": 4}),
    ("00:03", "vm-1", "upstream_suspected", {"upstream": "i-9", "why": "reset"}),
    ("00:03", "vm-1", "upstream_suspected", {"upstream": "i-1", "why": "reset"}),
    ("00:04", "vm-1", "attempt_failed", {"request": "r1", "upstream": "i-1"}),
    ("00:05", "vm-1", "request_ended", {"request": "r1", "upstream": "i-2"}),
    ("00:05", "vm-1", "request_ended", {"request": "r2", "upstream": "i-2"}),
    ("00:06", "vm-1", "store_lost", {"why": "late"}),
]


def texts():
    for timestamp, vm, event, fields in LINES:
        record = {"timestamp": timestamp, "vm": vm, "event": event, **fields}
        yield f"  12.5 {vm} {json.dumps(record)}"
    yield "no line of ours"
    yield "{ broken"


def test_the_story_has_the_requests_lines_and_what_led_to_them():
    story = tell_story("r1", read_lines(texts()))
    assert [line.split()[-1] for line in story] == [
        "version=4",
        "why=reset",
        "upstream=i-1",
        "upstream=i-2",
    ]
    assert [line[0] for line in story] == [" ", " ", ">", ">"]


def test_an_unknown_request_or_file_is_said(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(texts()))
    assert explain("r1", str(path)) == 0
    assert "request_ended" in capsys.readouterr().out
    assert explain("r7", str(path)) == 1
    assert "'r7'" in capsys.readouterr().err
    assert explain("r1", str(tmp_path / "none")) == 2
