"""Which routes some request can take, and who takes the requests of the others before them.

Exact, also where only several routes cover another one together. Used by the check of a file, not by serving.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product

from gannetweir.routing.route_table import PrefixPair, matching_routes, prefix_pairs
from gannetweir.routing.rules import HEX_DIGITS, Route

NO_REQUESTS = -1  # in `shadowed_by`
_NO_GROUP = "0" * HEX_DIGITS  # how a request without a group reads: no prefix of a group's may take it
_DIGITS = "0123456789abcdef"


@dataclass(frozen=True, slots=True)
class RouteReachability:
    """Which routes some request of a class takes, and for each other route who takes its requests before it.

    `NO_REQUESTS` in `shadowed_by`: there are none to take: no such class, no groups here, or no marks of
    clients' retries.
    """

    reachable_by_class: Mapping[str, frozenset[int]]
    shadowed_by: Mapping[int, int]


def route_reachability(
    routes: Sequence[Route], classes: Sequence[str], groups_enabled: bool, clients_mark_retries: bool
) -> RouteReachability:
    """Find the routes that no request can take."""
    reachable_by_class: dict[str, set[int]] = {class_name: set() for class_name in classes}
    shadowed_by = dict.fromkeys(range(len(routes)), NO_REQUESTS)
    reachable_by_routes: dict[tuple[int, ...], set[int]] = {}  # most routes take every kind of request
    retry_marks = (False, True) if clients_mark_retries else (False,)
    for class_name, returning, retry in product(classes, (False, True), retry_marks):
        matching = matching_routes(routes, class_name, returning, retry)
        if matching not in reachable_by_routes:
            reachable_by_routes[matching] = _reachable_routes(routes, matching, groups_enabled, shadowed_by)
        reachable_by_class[class_name] |= reachable_by_routes[matching]
    for number in set().union(*reachable_by_class.values()):
        shadowed_by.pop(number, None)
    return RouteReachability(
        {class_name: frozenset(numbers) for class_name, numbers in reachable_by_class.items()}, shadowed_by
    )


def _reachable_routes(
    routes: Sequence[Route], matching: Sequence[int], groups_enabled: bool, shadowed_by: dict[int, int]
) -> set[int]:
    """Return the routes that are not covered by those before them; note in `shadowed_by` who covers one."""
    reachable: set[int] = set()
    earlier: list[tuple[PrefixPair, int]] = []
    for number in matching:
        pairs = [
            pair
            for pair in prefix_pairs(routes[number].match)
            if (groups_enabled or not pair[0]) and pair[0] != _NO_GROUP
        ]
        for pair in pairs:
            overlapping = _overlapping(pair, earlier)
            if not _is_covered(pair, [other for other, _ in overlapping]):
                reachable.add(number)
            elif shadowed_by[number] == NO_REQUESTS:
                shadowed_by[number] = overlapping[0][1]
        earlier += [(pair, number) for pair in pairs]
    return reachable


def _overlapping(pair: PrefixPair, others: list[tuple[PrefixPair, int]]) -> list[tuple[PrefixPair, int]]:
    # as `_overlap`, written out: it runs for each pair of routes of a file
    group, key = pair
    return [
        (other, number)
        for other, number in others
        if (group.startswith(other[0]) or other[0].startswith(group))
        and (key.startswith(other[1]) or other[1].startswith(key))
    ]


def _overlap(one: PrefixPair, other: PrefixPair) -> bool:
    return all(a.startswith(b) or b.startswith(a) for a, b in zip(one, other, strict=True))


def _is_covered(pair: PrefixPair, others: list[PrefixPair]) -> bool:
    """Whether the others together leave nothing of a pair.

    One that overlaps it but does not hold it splits it, a digit at a time; a piece that nothing overlaps ends
    the search: the work is bounded by the pairs given. A group's prefix never takes a request without a
    group, so it can't cover a pair that names none.
    """
    group, key = pair
    overlapping = [other for other in others if _overlap(pair, other) and (group or not other[0])]
    if any(
        group.startswith(other_group) and key.startswith(other_key) for other_group, other_key in overlapping
    ):
        return True
    if not overlapping:
        return False
    if any(len(other_group) > len(group) for other_group, _ in overlapping):
        return all(_is_covered((group + digit, key), overlapping) for digit in _DIGITS)
    return all(_is_covered((group, key + digit), overlapping) for digit in _DIGITS)
