import pytest
from persimmonferry_core.exceptions import ConfigurationFaulty
from persimmonferry_core.settings import AgentSettings, parse_settings
from persimmonferry_core.topology import Address

ENTRY = """
[process]
role = entry
name = entry-1
team = kovanci
region = izmir
failure_domain = a
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
[platform]
url = http://127.0.0.1:9000
vm_list_url = http://127.0.0.1:9001/
"""


def test_settings_of_an_entry_are_read_with_defaults():
    settings = parse_settings(ENTRY)
    assert settings.role.callers == Address("127.0.0.1", 8080)
    assert settings.vm_list_url == "http://127.0.0.1:9001"
    assert settings.log_level == "INFO"


def test_settings_of_an_agent_name_its_upstream():
    text = ENTRY.replace("role = entry", "role = agent")
    text += "[upstream]\nkind = plain\nservice = orders\nurl = http://127.0.0.1:1\n"
    assert isinstance(parse_settings(text).role, AgentSettings)


def test_every_fault_is_listed_with_section_and_key():
    text = ENTRY.replace("127.0.0.1:8080", "8080").replace("http://", "ftp://")
    text += "[entry]\nbody_timeout_s = -1\ncolour = red\n[kitchen]\n"
    with pytest.raises(ConfigurationFaulty) as caught:
        parse_settings(text)
    faults = " ".join(caught.value.faults)
    for place in (
        "[listen] callers",
        "[platform] url",
        "[platform] vm_list_url",
        "[entry] body_timeout_s",
        "[entry] colour",
        "[kitchen]",
    ):
        assert place in faults
    assert len(caught.value.faults) == 6
