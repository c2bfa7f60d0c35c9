"""Finds the route of a request, the first in the file's order that matches, without testing each route.

A route is a box in five dimensions: class, whether the client returns, whether it retries, group and key, the
last two as ranges given by prefixes. The table is built once; a look-up costs one dictionary access for each
pair of prefix lengths in use, however many routes there are.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import product
from typing import NamedTuple

from gannetweir.placement.events import RequestArrived, RequestFlag
from gannetweir.routing.rules import HEX_DIGITS, Route, RouteMatch

PrefixPair = tuple[str, str]  # the prefix of a group, and the prefix of a key
RequestKind = tuple[int, bool, bool]  # class index, whether the client returns, whether it retries
_DIGIT_BITS = 4
_ID_BITS = _DIGIT_BITS * HEX_DIGITS


class PrefixIndex(NamedTuple):
    """The routes that match one kind of request, by their group and key prefixes.

    `first_route` maps the lengths of the group and key prefix in digits, followed by both prefixes as
    numbers, to the number of the first route with these prefixes.
    """

    prefix_lengths: list[tuple[int, int]]
    first_route: dict[tuple[int, int, int, int], int]


class RouteTable:
    """The routes of a file for the platform's classes, which are indexed as in its settings. Immutable."""

    def __init__(self, routes: Sequence[Route], classes: Sequence[str]) -> None:
        self.routes = tuple(routes)
        self._index_by_kind: dict[RequestKind, PrefixIndex] = {}
        index_by_routes: dict[tuple[int, ...], PrefixIndex] = {}  # a memo: most kinds match the same routes
        for class_index, returning, retry in product(range(len(classes)), (False, True), (False, True)):
            matching = matching_routes(routes, classes[class_index], returning, retry)
            if matching not in index_by_routes:
                index_by_routes[matching] = _prefix_index(routes, matching)
            self._index_by_kind[class_index, returning, retry] = index_by_routes[matching]

    def find_route(self, request: RequestArrived) -> int:
        """Return the number of the route of a request. There always is one: the default matches all."""
        returning = request.flags & RequestFlag.RETURNED > 0
        retry = request.flags & RequestFlag.CLIENT_RETRY > 0
        prefix_lengths, first_route = self._index_by_kind[request.class_index, returning, retry]
        found = len(self.routes) - 1
        for group_digits, key_digits in prefix_lengths:
            if group_digits and not request.group:
                continue  # a group prefix never matches a request without a group
            group_prefix = request.group >> (_ID_BITS - _DIGIT_BITS * group_digits)
            key_prefix = request.key >> (_ID_BITS - _DIGIT_BITS * key_digits)
            found = min(found, first_route.get((group_digits, key_digits, group_prefix, key_prefix), found))
        return found


def matching_routes(
    routes: Sequence[Route], class_name: str, returning: bool, retry: bool
) -> tuple[int, ...]:
    """Return the numbers of the routes that match this kind of request, leaving group and key aside."""
    return tuple(
        number
        for number, route in enumerate(routes)
        if _matches_kind(route.match, class_name, returning, retry)
    )


def prefix_pairs(match: RouteMatch) -> Iterator[PrefixPair]:
    """Return the pairs of group and key prefixes of a route; an empty prefix matches all."""
    return product(match.group_prefixes or ("",), match.key_prefixes or ("",))


def _matches_kind(match: RouteMatch, class_name: str, returning: bool, retry: bool) -> bool:
    return (
        (not match.classes or class_name in match.classes)
        and match.client_returning in (None, returning)
        and match.client_retry in (None, retry)
    )


def _prefix_index(routes: Sequence[Route], matching: Sequence[int]) -> PrefixIndex:
    first_route: dict[tuple[int, int, int, int], int] = {}
    for number in matching:
        for group, key in prefix_pairs(routes[number].match):
            prefixes = len(group), len(key), _prefix_value(group), _prefix_value(key)
            first_route.setdefault(prefixes, number)
    lengths = {(group_digits, key_digits) for group_digits, key_digits, _, _ in first_route}
    return PrefixIndex(sorted(lengths), first_route)


def _prefix_value(prefix: str) -> int:
    return int(prefix, 16) if prefix else 0
