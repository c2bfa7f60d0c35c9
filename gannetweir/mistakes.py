"""Mistakes in an operators' file, in the form in which every check of the file reports them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Mistake:
    """A mistake in the file: its place, what was found, and what is allowed."""

    line: int  # 0 if the mistake concerns the entire file
    where: str
    found: str
    allowed: str

    def text(self, file: str) -> str:
        """Return the mistake as one line of text for operators."""
        position = f"{file}:{self.line}" if self.line else file
        return f"{position}: {self.where}: {self.found}; {self.allowed}"
