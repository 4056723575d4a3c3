"""Seeded soak of planned work: instances as processes beside scripted stand-ins."""
