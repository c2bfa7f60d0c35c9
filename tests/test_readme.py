"""The README's example runs and prints the output that the README shows."""

import contextlib
import io
import re
from pathlib import Path


def test_the_readmes_example_prints_what_the_readme_says() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, "README.md", "exec"), {})
    assert f"`{printed.getvalue().strip()}`" in text
