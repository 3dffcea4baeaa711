"""The documented table of result codes matches the code."""

import re
from pathlib import Path

from persimmonferry_core.codes import Ran, ResultCode

PAGE = Path(__file__).resolve().parents[3] / "docs" / "RESULT-CODES.md"
ROW = re.compile(r"\| (\d{4}) \| (\w+) \| (\d{3}) \| (\w+)")


def test_the_documented_table_matches_the_codes():
    rows = ROW.findall(PAGE.read_text())
    codes = [
        (str(code.number), code.name.lower(), str(code.http_status), code.ran.value)
        for code in ResultCode
    ]
    assert rows == codes


def test_numbers_are_unique_and_2xxx_codes_mean_not_run():
    numbers = [code.number for code in ResultCode]
    assert len(set(numbers)) == len(numbers)
    for code in ResultCode:
        if code.number // 1000 == 2:
            assert code.ran is Ran.NO
