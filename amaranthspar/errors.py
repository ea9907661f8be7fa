"""Hierarchy of the exceptions that amaranthspar raises.

Each layer raises its own errors and converts those of lower layers to them.
"""


class AmaranthsparError(Exception):
    """Base of every error of this package."""


class SchemaError(AmaranthsparError):
    """Bytes or text do not match the schema."""


class DecisionError(AmaranthsparError):
    """A state machine received an event that cannot occur."""


class InputOutputError(AmaranthsparError):
    """A link, a file or an HTTP connection failed."""


class LinkError(InputOutputError):
    """A link between processes cannot be opened."""


class ListenError(InputOutputError):
    """The server cannot listen at its HTTP address."""


class DiskError(InputOutputError):
    """A data folder cannot be read or written."""


class UpstreamError(InputOutputError):
    """An upstream did not send a complete response."""


class RoleError(AmaranthsparError):
    """A process cannot start or continue."""


class SupersededError(RoleError):
    """Another process with the same name and a newer incarnation is running.

    Args:
        process: Process name.
    """

    def __init__(self, process: str) -> None:
        super().__init__(f"another process runs as {process}; this one has ended")


class SettingsError(RoleError):
    """Settings or arguments have faults.

    Args:
        faults: All faults, one line each, with file, section and key.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
