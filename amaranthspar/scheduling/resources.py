"""Arithmetic on amounts of processor cores, memory and accelerators."""

from collections.abc import Iterable

from amaranthspar.schema import runmessages

NONE = runmessages.Resources()


def add(
    first: runmessages.Resources, second: runmessages.Resources
) -> runmessages.Resources:
    """Return the sum of two amounts."""
    return runmessages.Resources(
        first.cpu_millis + second.cpu_millis,
        first.memory_mb + second.memory_mb,
        first.accelerators + second.accelerators,
    )


def subtract(
    whole: runmessages.Resources, part: runmessages.Resources
) -> runmessages.Resources:
    """Return the difference of two amounts, which may be negative."""
    return runmessages.Resources(
        whole.cpu_millis - part.cpu_millis,
        whole.memory_mb - part.memory_mb,
        whole.accelerators - part.accelerators,
    )


def clip(amount: runmessages.Resources) -> runmessages.Resources:
    """Return an amount with zero in place of negative values."""
    return runmessages.Resources(
        max(amount.cpu_millis, 0),
        max(amount.memory_mb, 0),
        max(amount.accelerators, 0),
    )


def find_most(
    first: runmessages.Resources, second: runmessages.Resources
) -> runmessages.Resources:
    """Return the larger value of two amounts in each dimension."""
    return runmessages.Resources(
        max(first.cpu_millis, second.cpu_millis),
        max(first.memory_mb, second.memory_mb),
        max(first.accelerators, second.accelerators),
    )


def total(amounts: Iterable[runmessages.Resources]) -> runmessages.Resources:
    """Return the sum of many amounts."""
    result = NONE
    for amount in amounts:
        result = add(result, amount)
    return result


def fits(need: runmessages.Resources, free: runmessages.Resources) -> bool:
    """Return whether free capacity covers a need in every dimension."""
    return (
        need.cpu_millis <= free.cpu_millis
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )


def compute_used_share(
    used: runmessages.Resources, capacity: runmessages.Resources
) -> float:
    """Return the used share of the scarcest dimension, 0 if nothing is in use.

    It is 1 if there is no capacity in any dimension.
    """
    pairs = (
        (used.cpu_millis, capacity.cpu_millis),
        (used.memory_mb, capacity.memory_mb),
        (used.accelerators, capacity.accelerators),
    )
    return max((part / whole for part, whole in pairs if whole > 0), default=1.0)
