"""Reads the settings file that the platform writes for each process."""

import configparser
import math
import os
import pathlib

import attrs

from amaranthspar import addresses, errors
from amaranthspar.scheduling import spread

VARIABLE = "AMARANTHSPAR_SETTINGS"
"""Environment variable with the path of the settings file."""
_SECTION = "platform"
_TRUE = "true"
_ROLE_PORTS = {"controller": 0, "gateway": 1, "sidecar": 2}
"""Offset of each role's link port from the first internal port."""
STOP_MARGIN_MS = 700
"""Part of the platform's grace period reserved for the last responses and the exit."""


@attrs.frozen(slots=True)
class Settings:
    """Settings of one process.

    Attributes:
        host: Name of the host.
        ip: IP address of the host.
        failure_domain: Failure domain of the host.
        callers: Address to which callers connect; empty if the role has none.
        readiness: Address of the load balancer's readiness check; empty if the role has
            none.
        control: Address for upstreams and operators; empty if the role has none.
        first_port: First port for links between processes.
        seeds: IP addresses of the first controllers.
        is_first_start: Whether the whole system starts for the first time.
        data: Data folder; empty without a disk.
        service: Service of the upstream on this host; empty if there is none.
        upstream: Address of the upstream on this host; empty if there is none.
        grace_ms: Time from the stop signal until the platform kills the process, in ms.
        max_lease_ms: Longest lease of runs in ms.
        spread_factor: Ratio of the duration of a task in another rack to that in the
            rack of its data, at least 1.
        memory_mb: Memory of the host in MB; 0 if it is not stated.
        max_fds: Descriptors that the process may open; 0 if they are not stated.
        tolerated_losses: Number of controllers that may be lost at the same time; 0 if
            it is not stated.
    """

    host: str
    ip: str
    failure_domain: str
    callers: str
    readiness: str
    control: str
    first_port: int
    seeds: list[str]
    is_first_start: bool
    data: str
    service: str
    upstream: str
    grace_ms: int
    max_lease_ms: int
    spread_factor: float = spread.DEFAULT_FACTOR
    memory_mb: int = 0
    max_fds: int = 0
    tolerated_losses: int = 0

    @property
    def stopping_ms(self) -> int:
        """Time for a graceful shutdown after the stop signal, in ms."""
        return self.grace_ms - STOP_MARGIN_MS

    def find_link_address(self, role: str, ip: str = "") -> str:
        """Return the address at which a role listens for links.

        Args:
            role: ``controller``, ``gateway`` or ``sidecar``.
            ip: IP address of another host; this host if empty.
        """
        return f"{ip or self.ip}:{self.first_port + _ROLE_PORTS[role]}"

    def list_controllers(self) -> list[str]:
        """Return the link addresses of the first controllers."""
        return [self.find_link_address("controller", ip) for ip in self.seeds]


def find_path() -> pathlib.Path:
    """Return the path of the settings file of this process.

    Raises:
        errors.SettingsError: The environment does not name it.
    """
    path = os.environ.get(VARIABLE, "")
    if not path:
        raise errors.SettingsError([f"{VARIABLE} is not set"])
    return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> Settings:
    """Return the settings in a file.

    Args:
        path: Settings file.

    Raises:
        errors.SettingsError: The file cannot be read, or a key is missing or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings in the text of a settings file; unknown keys are ignored.

    Args:
        text: Lines of the form ``a.b=value``, with lists separated by commas.

    Raises:
        errors.SettingsError: A key is missing or invalid.
    """
    parser = configparser.ConfigParser(
        delimiters=("=",), interpolation=None, strict=False, allow_no_value=True
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(f"[{_SECTION}]\n{text}")
    except configparser.Error as error:
        raise errors.SettingsError([str(error)]) from error
    return _Reader(dict(parser[_SECTION])).read()


class _Reader:
    """Reads typed values and collects the faults."""

    def __init__(self, values: dict[str, str | None]) -> None:
        self._values = values
        self._faults: list[str] = []

    def read(self) -> Settings:
        """Return all settings.

        Raises:
            errors.SettingsError: A key is missing or invalid; lists all faults.
        """
        settings = Settings(
            host=self._require("Node"),
            ip=self._require("Ip"),
            failure_domain=self._require("Zone"),
            callers=self._find_address("Listen.Front"),
            readiness=self._find_address("Listen.ReadinessAddr"),
            control=self._find_address("Listen.Control"),
            first_port=self._read_port("InternalPorts"),
            # These are the addresses of the operators' interface; links use the same
            # IP addresses.
            seeds=[
                item.rpartition(":")[0]
                for item in self._find("Seeds").split(",")
                if item
            ],
            is_first_start=self._find("Bootstrap").lower() == _TRUE,
            data=self._find("DataDir"),
            service=self._find("Service"),
            upstream=self._find_address("app"),
            grace_ms=1000 * self._read_integer("Bounds.GraceS"),
            max_lease_ms=self._read_integer("Bounds.MaxHoldMs"),
            spread_factor=self._read_factor(
                "Bounds.SpreadFactor", spread.DEFAULT_FACTOR
            ),
            memory_mb=self._read_limit("Limits.MemoryMb"),
            max_fds=self._read_limit("Limits.MaxFds"),
            tolerated_losses=self._read_limit("FaultTolerance.Machines"),
        )
        if self._faults:
            raise errors.SettingsError(self._faults)
        return settings

    def _find(self, key: str) -> str:
        return (self._values.get(key) or "").strip()

    def _require(self, key: str) -> str:
        value = self._find(key)
        if not value:
            self._faults.append(f"{key}: missing")
        return value

    def _read_integer(self, key: str) -> int:
        found = self._require(key)
        try:
            return int(float(found))
        except (ValueError, OverflowError):
            self._faults.append(f"{key} = {found}: not a number")
            return 0

    def _read_factor(self, key: str, default: float) -> float:
        """Return a factor of at least 1, or the default if the key is missing."""
        found = self._find(key)
        if not found:
            return default
        try:
            factor = float(found)
        except ValueError:
            factor = math.nan
        if not 1 <= factor < math.inf:
            self._faults.append(f"{key} = {found}: not a number of at least 1")
            return default
        return factor

    def _read_limit(self, key: str) -> int:
        """Return a limit of the host or of the deployment; 0 if it is missing."""
        return max(self._read_integer(key), 0) if self._find(key) else 0

    def _read_port(self, key: str) -> int:
        """Return the first port of a range of internal ports."""
        found = self._require(key).partition(",")[0].strip()
        if not found:
            return 0
        try:
            port = addresses.parse_port(found)
            addresses.parse_port(str(port + max(_ROLE_PORTS.values())))
        except errors.SchemaError:
            self._faults.append(f"{key} = {found}: no port with room for the links")
            return 0
        return port

    def _find_address(self, key: str) -> str:
        """Return an address with a port; empty if the role has none."""
        found = self._find(key)
        try:
            addresses.parse_port(found.rpartition(":")[2] if found else "1")
        except errors.SchemaError:
            self._faults.append(f"{key} = {found}: no address with a port")
        return found
