"""Version moves and data centre moves."""
