"""Reading of INI text."""
