"""Resources that operators declare, and their configuration state."""
