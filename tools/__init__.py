"""Development tools of amaranthspar: fuzzers, a model checker, generation and packaging."""
