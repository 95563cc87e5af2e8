"""The lab's command line: each experiment has its subcommand, and bad arguments get one clear error line."""

import pytest

from faultlab.__main__ import EXPERIMENTS, main
from faultlab.report import format_table


def test_every_experiment_registers_a_command_with_help(capsys: pytest.CaptureFixture[str]) -> None:
    names = [experiment.__name__.removeprefix("faultlab.").partition(".")[0] for experiment in EXPERIMENTS]
    for name in names:
        with pytest.raises(SystemExit) as ended:
            main([name, "--help"])
        assert ended.value.code == 0 and f"faultlab {name}" in capsys.readouterr().out


def test_a_count_below_one_is_named_and_refused(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["recovery", "--rounds", "0"])
    assert "--rounds: '0' is not a whole number of at least 1" in capsys.readouterr().err


def test_figures_are_one_line_each_with_nested_names() -> None:
    assert format_table({"a": 1, "b": {"c": 0.5}}) == "a    1\nb.c  0.500"


@pytest.mark.parametrize(
    ("words", "says"),
    [
        (["--sizes", "5,x"], "--sizes: '5,x' is not a list"),
        (["--sizes", "1"], "--sizes: '1' is not a list"),
        (["--kills", "-1"], "--kills: '-1' is not a whole number"),
        (["--soak-hours", "nan"], "--soak-hours: 'nan' is not a number of hours"),
    ],
)
def test_an_invalid_fleet_argument_is_named_and_refused(
    words: list[str], says: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit):
        main(["membership", *words])
    assert says in capsys.readouterr().err
