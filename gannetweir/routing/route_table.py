"""Which route a request takes: the first in the file's order that fits, found without looking at each.

A route is a box in five dimensions: class, `again`, `r`, group and key, the last two as ranges that a prefix
names. The table is made once; a look-up costs one dictionary access for each pair of prefix lengths in use,
however many routes there are. The same boxes tell which route no request can ever reach.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import product

from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.routing.rules import HEX_DIGITS, Route, RouteMatch

PrefixPair = tuple[str, str]  # a group's and a key's prefix
Cell = tuple[list[tuple[int, int]], dict[tuple[int, ...], int]]
_BITS = 4 * HEX_DIGITS
_NO_GROUP = "0" * HEX_DIGITS  # how a request without a group reads: no prefix of a group's may take it


class RouteTable:
    """The routes of a file over the classes of the settings, which are numbered as there."""

    def __init__(self, routes: Sequence[Route], classes: Sequence[str]) -> None:
        self.routes = tuple(routes)
        # by class and flags: the prefix lengths in use, and the first route of each pair of prefixes
        self.cells_by_request_kind: dict[tuple[int, bool, bool], Cell] = {}
        made: dict[tuple[int, ...], Cell] = {}
        for cls, again, retry in product(range(len(classes)), (False, True), (False, True)):
            taking = tuple(
                n for n, route in enumerate(routes) if matches_kind(route.match, classes[cls], again, retry)
            )
            if taking not in made:
                made[taking] = self._cell(taking)
            self.cells_by_request_kind[cls, again, retry] = made[taking]

    def _cell(self, taking: Sequence[int]) -> Cell:
        found: dict[tuple[int, ...], int] = {}
        for number in taking:
            for group, key in prefix_pairs(self.routes[number].match):
                found.setdefault((len(group), len(key), _value(group), _value(key)), number)
        return sorted({(at[0], at[1]) for at in found}), found

    def find_route(self, request: RequestArrived) -> int:
        """The number of the route that a request takes. There is always one: the default takes all."""
        again, retry = request.flags & RequestFlag.RETURNED > 0, request.flags & RequestFlag.CLIENT_RETRY > 0
        lengths, found = self.cells_by_request_kind[request.class_index, again, retry]
        best = len(self.routes) - 1
        for group, key in lengths:
            if group and not request.group:
                continue
            at = group, key, request.group >> (_BITS - 4 * group), request.key >> (_BITS - 4 * key)
            best = min(best, found.get(at, best))
        return best


def _value(prefix: str) -> int:
    return int(prefix, 16) if prefix else 0


def matches_kind(match: RouteMatch, cls: str, again: bool, retry: bool) -> bool:
    return (
        (not match.classes or cls in match.classes)
        and match.client_returning in (None, again)
        and match.client_retry in (None, retry)
    )


def prefix_pairs(match: RouteMatch) -> Iterator[PrefixPair]:
    """The pairs of prefixes that a route names."""
    return product(match.group_prefixes or ("",), match.key_prefixes or ("",))


@dataclass(frozen=True, slots=True)
class RouteReachability:
    """Which routes some request of a class takes, and for each other route who takes its requests before it
    (-1: there are none to take: no such class, no groups here, or no marks of clients' retries).
    """

    reachable_by_class: Mapping[str, frozenset[int]]
    shadowed_by: Mapping[int, int]


def route_reachability(
    routes: Sequence[Route], classes: Sequence[str], groups_enabled: bool, clients_mark_retries: bool
) -> RouteReachability:
    """Find the routes that no request can take. Exact, also where only several others cover one together."""
    alive: dict[str, set[int]] = {cls: set() for cls in classes}
    blame = dict.fromkeys(range(len(routes)), -1)
    done: dict[tuple[int, ...], set[int]] = {}  # most routes tell neither class nor flags apart
    for cls, again, retry in product(
        classes, (False, True), (False, True) if clients_mark_retries else (False,)
    ):
        taking = tuple(n for n, route in enumerate(routes) if matches_kind(route.match, cls, again, retry))
        if taking not in done:
            done[taking] = _reachable_routes(routes, taking, groups_enabled, blame)
        alive[cls] |= done[taking]
    for number in set().union(*alive.values()):
        blame.pop(number, None)
    return RouteReachability({cls: frozenset(numbers) for cls, numbers in alive.items()}, blame)


def _reachable_routes(
    routes: Sequence[Route], taking: Sequence[int], groups: bool, blame: dict[int, int]
) -> set[int]:
    found: set[int] = set()
    before: list[tuple[PrefixPair, int]] = []
    for number in taking:
        mine = [
            box
            for box in prefix_pairs(routes[number].match)
            if (groups or not box[0]) and box[0] != _NO_GROUP
        ]
        for box in mine:
            group, key = box
            met = [  # as `_meets`, for each pair of routes
                (other, by)
                for other, by in before
                if (group.startswith(other[0]) or other[0].startswith(group))
                and (key.startswith(other[1]) or other[1].startswith(key))
            ]
            if not _is_covered(box, [other for other, _ in met]):
                found.add(number)
            elif blame[number] < 0:
                blame[number] = met[0][1]
        before += [(box, number) for box in mine]
    return found


def _overlap(one: PrefixPair, other: PrefixPair) -> bool:
    return all(a.startswith(b) or b.startswith(a) for a, b in zip(one, other, strict=True))


def _is_covered(box: PrefixPair, by: list[PrefixPair]) -> bool:
    """Do these boxes together leave nothing of this one? One that meets it but does not hold it splits it, a
    digit at a time; a piece that nothing meets ends the search: the work is bounded by the boxes given.

    A group's prefix never takes a request without a group, so it can't cover a box that names none.
    """
    met = [other for other in by if _overlap(box, other) and (box[0] or not other[0])]
    if any(box[0].startswith(group) and box[1].startswith(key) for group, key in met):
        return True
    if not met:
        return False
    group, key = box
    if any(len(other[0]) > len(group) for other in met):
        return all(_is_covered((group + digit, key), met) for digit in "0123456789abcdef")
    return all(_is_covered((group, key + digit), met) for digit in "0123456789abcdef")
