"""Choice of the engine on which a generation starts."""
