"""The record of one client's request, from its first line to the end of its connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from gannetweir import interface as i
from gannetweir.core.reasons import Reason

if TYPE_CHECKING:  # a relay without an operators' file does without the code for one
    from gannetweir.addresses.address import Address
    from gannetweir.routing.route_admission import Share


@dataclass(slots=True)
class Transaction:
    """One request of a client's, from its first line to the end of its connection."""

    number: int
    due_us: int  # its final answer has left by then
    ident: str = ""  # the client's word for it
    attempt: int = -1  # the last one
    server: i.ServerId = None
    started_us: int = 0  # when that one's server had started, as told when the flow was opened
    out: bool = False  # that attempt's flow is open
    sent: bool = False  # and has been written whole
    held_up: bool = False  # its connect could not be begun, by an error of this machine
    ran: bool = False  # an attempt may have run
    sent_us: int = 0
    up: bool = False
    resumed: bool = False
    leaving: Reason | None = None  # why it is to be moved, at a time of its own
    last_status: int = 0  # how its last attempt ended; 0 before any has
    unanswered: deque[int] = field(default_factory=deque)  # when the lines without an answer came
    cls: i.RequestClass = field(default_factory=i.RequestClass)  # as its route treats it
    share: Share | None = None  # of its route, until it has given it back
    flow_due_us: int = 0  # when the attempt that is out is over
    setting_up: bool = False  # that attempt counts as a set-up at its server
    path: Address | None = None  # which of its server's addresses carries it
