"""Construction and main loop of one running instance."""
