"""HTTP clients of upstreams and of the platform, and stand-ins for their servers."""
