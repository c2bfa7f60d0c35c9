"""What is wrong with an operators' file, as every part that checks one reports it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mistake:
    """One thing that is wrong: where, what was found, what is allowed."""

    line: int  # 0 where the file as a whole is meant
    where: str
    found: str
    allowed: str

    def text(self, file: str) -> str:
        """Return one line for people."""
        position = f"{file}:{self.line}" if self.line else file
        return f"{position}: {self.where}: {self.found}; {self.allowed}"
