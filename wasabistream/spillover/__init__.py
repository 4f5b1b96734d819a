"""Share of the requests that may go to other data centres."""
