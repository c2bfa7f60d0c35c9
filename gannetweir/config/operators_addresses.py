"""Reads the sections of an operators' file about addresses: `reach` and `server`."""

from __future__ import annotations

from dataclasses import replace

from gannetweir.addresses.address import FAMILIES
from gannetweir.addresses.rules import AddressRules, EndpointRule
from gannetweir.config.kdl import Node
from gannetweir.config.kdl_forms import NodeForm, NodeReader
from gannetweir.config.kdl_values import one_of, parse_duration_us, parse_flag, parse_text

_PREFER = NodeForm(one_of(*FAMILIES), allows_many=True)
_DURATION = NodeForm(parse_duration_us)
_ADDRESS = NodeForm(parse_text, allows_many=True)
_DIAL = NodeForm(parse_flag)


class AddressReader:
    """Reads the sections about addresses and reports mistakes to the node reader.

    `rules` combines the sections read so far; None before the first one.
    """

    def __init__(self, node_reader: NodeReader) -> None:
        self.rules: AddressRules | None = None
        self._node_reader = node_reader

    def read_connection_rules(self, node: Node) -> None:
        """Read how the relay connects to endpoints with several addresses."""
        self._node_reader.check_block_only(node, "reach")
        rules = self.rules or AddressRules()
        for name, child in self._node_reader.read_block(
            node, "reach", ("prefer", "fallback", "mend")
        ).items():
            where = f"reach {name}"
            if name == "prefer":
                families = self._node_reader.read_values(child, where, _PREFER).arguments
                rules = replace(rules, family_preference=families or rules.family_preference)
                continue
            duration_us = self._node_reader.read_values(child, where, _DURATION).single
            if duration_us is None:
                continue
            if name == "fallback":
                rules = replace(rules, connection_attempt_delay_us=duration_us)
            else:
                rules = replace(rules, max_backoff_us=duration_us)
        self.rules = rules

    def read_server(self, node: Node) -> None:
        """Read the addresses of an endpoint, or of all endpoints whose names match a pattern."""
        rules = self.rules or AddressRules()
        name = self._node_reader.parse_only_argument(node, "server", parse_text)
        where = f"server {name}" if name else "server"
        if node.properties:
            self._node_reader.report(node, where, "found values", "its name only")
        addresses: tuple[str, ...] = ()
        dial: bool | None = None
        for child_name, child in self._node_reader.read_block(node, where, ("address", "dial")).items():
            if child_name == "address":
                addresses = self._node_reader.read_values(child, f"{where} address", _ADDRESS).arguments
            else:
                dial = self._node_reader.read_values(child, f"{where} dial", _DIAL).single
        if name:
            rule = EndpointRule(name, addresses, dial is not False, node.line)
            rules = replace(rules, endpoint_rules=(*rules.endpoint_rules, rule))
        self.rules = rules
