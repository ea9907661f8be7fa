"""Name and addresses of a process."""

import attrs


@attrs.frozen(slots=True)
class ProcessSettings:
    """Name of a process, its address and those of the first controllers.

    Attributes:
        name: Unique process name.
        listen: Address at which the process listens for links.
        controllers: Addresses of the controllers to which the process connects first.
        failure_domain: Failure domain of the host; empty if it is not known.
    """

    name: str
    listen: str
    controllers: list[str]
    failure_domain: str = ""
