"""The data folder of a controller."""
