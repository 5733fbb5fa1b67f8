"""Library of tools/fleet."""
