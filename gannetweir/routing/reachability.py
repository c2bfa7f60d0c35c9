"""Which routes are reachable, and which earlier route shadows each of the others.

The result is exact, also where only several routes together cover another one. The check of an operators'
file uses this module; serving does not.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import product

from gannetweir.routing.route_table import PrefixPair, matching_routes, prefix_pairs
from gannetweir.routing.rules import HEX_DIGITS, Route

NO_REQUESTS = -1  # in `shadowed_by`, for a route that no possible request matches
# The group of a request without a group. No group prefix matches such a request, so a prefix with all these
# digits matches no request at all.
_NO_GROUP = "0" * HEX_DIGITS
_DIGITS = "0123456789abcdef"


@dataclass(frozen=True, slots=True)
class RouteReachability:
    """The routes that requests of each class can reach, and for each other route one that shadows it.

    `shadowed_by` is `NO_REQUESTS` for a route that no possible request matches: its classes are unknown, the
    platform has no groups, or clients do not mark retries.
    """

    reachable_by_class: Mapping[str, frozenset[int]]
    shadowed_by: Mapping[int, int]


def route_reachability(
    routes: Sequence[Route], classes: Sequence[str], groups_enabled: bool, clients_mark_retries: bool
) -> RouteReachability:
    """Return which routes requests of the given classes can reach, and what shadows the others."""
    reachable_by_class: dict[str, set[int]] = {class_name: set() for class_name in classes}
    shadowed_by = dict.fromkeys(range(len(routes)), NO_REQUESTS)
    reachable_by_routes: dict[tuple[int, ...], set[int]] = {}  # a memo: most kinds have the same routes
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
    """Return the routes that earlier routes do not cover.

    Records in `shadowed_by` the first earlier route that overlaps each covered one.
    """
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
    # `_overlap` is inlined here for speed: this code runs for each pair of routes of a file.
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
    """Whether the other pairs together cover all of a pair.

    Where another pair overlaps the pair without containing it, the pair is split by the next digit. A piece
    that nothing overlaps ends the search, so the work is bounded by the pairs given. A group prefix never
    matches a request without a group, so it can't cover a pair without a group prefix.
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
