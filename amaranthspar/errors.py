"""Tree of the exceptions that amaranthspar raises.

Each layer raises errors of its own and turns those from below into them.
"""


class AmaranthsparError(Exception):
    """Base of every error of this package."""


class SchemaError(AmaranthsparError):
    """Bytes or text do not follow the schema."""


class DecisionError(AmaranthsparError):
    """A state machine was given an event that can never occur."""


class InputOutputError(AmaranthsparError):
    """A link, a file or an HTTP connection failed."""


class LinkError(InputOutputError):
    """A link between processes cannot be opened."""


class ListenError(InputOutputError):
    """An address for HTTP cannot be listened on."""


class DiskError(InputOutputError):
    """A data folder cannot be read or written."""


class UpstreamError(InputOutputError):
    """An upstream did not give a whole answer."""


class RoleError(AmaranthsparError):
    """A process cannot start or go on."""


class SupersededError(RoleError):
    """Another process holds the name of this one with a newer incarnation.

    Args:
        process: Process name.
    """

    def __init__(self, process: str) -> None:
        super().__init__(f"another process runs as {process}; this one has ended")


class SettingsError(RoleError):
    """A settings file is wrong.

    Args:
        faults: One line for each fault, naming file, section and key.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults
