"""Load and experiment tool: real processes on loopback, seeded and open-loop."""
