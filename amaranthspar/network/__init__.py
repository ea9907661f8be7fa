"""Links between processes: TCP connections, heartbeats and TLS."""
