"""What a process knows of members, leases and configuration."""
