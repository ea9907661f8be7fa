"""The roles of processes, wired from decisions and input and output."""
