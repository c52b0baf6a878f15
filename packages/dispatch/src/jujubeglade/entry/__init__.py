"""The entry role: serves clients and operators, and grants permits to agents."""
