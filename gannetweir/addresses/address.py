"""Address literals: IPv4, IPv6 in brackets, and Unix sockets. There is no DNS: a host is a number.

Forms: `10.1.0.18:8080`, `[fd00::18]:8080`, `[fe80::18%eth0]:8080`, `unix:/run/push/a.sock`.
"""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

from gannetweir.errors import GannetweirError

IPV4, IPV6, UNIX = "ipv4", "ipv6", "unix"
FAMILIES = (UNIX, IPV6, IPV4)
MAX_PORT = 65535
MAX_SOCKET_PATH_BYTES = 107  # Linux's sun_path has 108 bytes, the last of them NUL
_BROADCAST = "255.255.255.255"
_SCOPE = re.compile(r"[A-Za-z0-9_.:-]{1,15}")
_PORT = re.compile(r"[1-9][0-9]{0,4}")


class AddressError(GannetweirError, ValueError):
    """A literal is not a valid address. The message says what is allowed; the caller adds what was found."""


@dataclass(frozen=True, slots=True)
class Address:
    """An address to connect to. Equal addresses lead to the same socket."""

    family: str
    host: str  # an IP address in its shortest form, or the path of a Unix socket
    port: int = 0
    scope: str = ""  # the interface of a link-local address

    def __str__(self) -> str:
        if self.family == UNIX:
            return f"unix:{self.host}"
        scope = f"%{self.scope}" if self.scope else ""
        return f"[{self.host}{scope}]:{self.port}" if self.family == IPV6 else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address that a literal denotes. Raises `AddressError`."""
    if text.startswith("unix:"):
        return _parse_unix(text.removeprefix("unix:"))
    host, colon, port = text.rpartition(":")
    if not colon or not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise AddressError("HOST:PORT with a port from 1 to 65535, or unix:/PATH")
    if host.startswith("[") and host.endswith("]"):
        return _parse_ipv6(host[1:-1], int(port))
    if ":" in host:
        raise AddressError("an IPv6 address in brackets, as [fd00::18]:8080")
    try:
        number = ipaddress.IPv4Address(host)
    except ValueError as error:
        raise AddressError("a number for a host, as 10.1.0.18:8080: there is no DNS") from error
    if number.is_unspecified or number.is_multicast or host == _BROADCAST:
        raise AddressError("the address of one machine")
    return Address(IPV4, str(number), int(port))


def _parse_ipv6(host: str, port: int) -> Address:
    bare, percent, scope = host.partition("%")
    try:
        number = ipaddress.IPv6Address(bare)
    except ValueError as error:
        raise AddressError("an IPv6 number in the brackets, as [fd00::18]:8080") from error
    if number.is_unspecified or number.is_multicast:
        raise AddressError("the address of one machine")
    if number.is_link_local != bool(percent) or (percent and not _SCOPE.fullmatch(scope)):
        raise AddressError("an interface with a link-local address, as [fe80::18%eth0]:8080, and only there")
    if number.ipv4_mapped is not None:
        raise AddressError("the IPv4 address itself")
    return Address(IPV6, str(number), port, scope)


def _parse_unix(path: str) -> Address:
    if not path.startswith("/") or "\0" in path or path.endswith("/"):
        raise AddressError("unix: with the absolute path of a socket, as unix:/run/push/a.sock")
    if len(path.encode("utf-8", "surrogateescape")) > MAX_SOCKET_PATH_BYTES:
        raise AddressError(f"a path of at most {MAX_SOCKET_PATH_BYTES} bytes")
    parts = [part for part in path.split("/") if part and part != "."]
    if ".." in parts:
        raise AddressError("a path without ..")
    return Address(UNIX, "/" + "/".join(parts))
