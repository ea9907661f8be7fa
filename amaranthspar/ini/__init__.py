"""Parsing of INI text into classes of the schema."""
