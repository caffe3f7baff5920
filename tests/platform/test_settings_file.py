import pytest
from returns.result import Failure

from lagoonlatch.platform.settings_file import PATH_VARIABLE, VmSettings

TEXT = """
node = "vm-1"
ip = "10.1.0.37"
zone = "n-a"
region = "north"
port_range = [7560, 7575]
seeds = []
bootstrap = true
some_new_field = 3
bounds = ["contact_s=3", "drain_s=2.5", "retry_ratio=0.2", "strict_revoke=false"]
[zones]
n-a = "north"
s-a = "south"
[listen]
front = "10.1.0.37:8388"
ready = "10.1.0.37:8384"
control = "10.1.0.37:8381"
directory = "10.1.0.37:8383"
[platform]
addr = "10.200.1.7:8382"
form = "kv"
"""


def write(tmp_path, text):
    path = tmp_path / "boot.toml"
    path.write_text(text)
    return str(path)


def test_settings_are_decoded_into_this_projects_words(tmp_path):
    settings = VmSettings.from_file(write(tmp_path, TEXT)).unwrap()
    assert settings.vm == "vm-1"
    assert settings.region == "north"
    assert settings.peer_address == "10.1.0.37:7560"
    assert settings.store_address == "10.200.1.7:8382"
    assert settings.is_first_start
    assert settings.bounds.settle_time == 3_000.0
    assert settings.bounds.drain_time == 2_500.0
    assert settings.bounds.retry_ratio == 0.2


@pytest.mark.parametrize(
    ("old", "new", "reason"),
    [
        ('zone = "n-a"\n', 'zone = "x"\n', "unknown data centre 'x'; valid: n-a, s-a"),
        ('"drain_s=2.5"', '"drain_s=soon"', "'drain_s=soon'"),
        ('node = "vm-1"\n', "", "node"),
        ('front = "10.1.0.37:8388"', "front = 8388", "front"),
        ("[zones]", "[zones", ""),
    ],
)
def test_bad_settings_are_refused_with_the_reason(tmp_path, old, new, reason):
    path = write(tmp_path, TEXT.replace(old, new, 1))
    result = VmSettings.from_file(path)
    assert isinstance(result, Failure)
    assert path in result.failure()
    assert reason in result.failure()


def test_a_missing_file_or_variable_is_said(tmp_path, monkeypatch):
    assert "no.toml" in VmSettings.from_file(str(tmp_path / "no.toml")).failure()
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    assert PATH_VARIABLE in VmSettings.from_environment().failure()
