"""The HTTP interface of a gateway."""
