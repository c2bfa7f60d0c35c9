"""Experiments on the project's own world, on virtual time: python -m gannetweir.lab

Usage:
  lab budgets [--seeds N] [--backends N] [--rate R] [--file FILE] [--keep DIR]
  lab (-h | --help)

budgets  A fleet whose backends fail 40 to 90% of their requests for 30 s, with and without retry budgets.

Options:
  --seeds N     Runs of each row [default: 5].
  --backends N  Size of the fleet [default: 300].
  --rate R      New connections a second [default: 25].
  --file FILE   The operators' file beside which it is measured [default: deploy/operators.kdl].
  --keep DIR    Write the table and the chart there, as Markdown.
"""

from __future__ import annotations

from pathlib import Path

from docopt import docopt

from gannetweir.lab.experiments import COLUMNS, STEP_S, budgets
from gannetweir.lab.report import chart, markdown, show


def main() -> None:
    """Run what the command line asks for."""
    args = docopt(__doc__ or "")
    seeds, backends, rate = int(args["--seeds"]), int(args["--backends"]), float(args["--rate"])
    rows, lines = budgets(Path(args["--file"]), seeds, backends, rate)
    title = f"{backends} backends, {rate:g} new connections a second, failing 40 to 90% from 40 to 70 s"
    show(title, COLUMNS, rows)
    drawn = chart(lines, "connections served a second", STEP_S)
    print(drawn)
    if args["--keep"]:
        table = markdown(COLUMNS, rows)
        text = f"# Retry budgets\n\n{title}; {seeds} seeds.\n\n{table}\n\n```text\n{drawn}\n```\n"
        path = Path(args["--keep"]) / "retry-budgets.md"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)


if __name__ == "__main__":
    main()
