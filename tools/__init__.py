"""Tools for developers of amaranthspar."""
