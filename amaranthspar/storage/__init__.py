"""Storage of a controller replica: data folder, its files and recovery."""
