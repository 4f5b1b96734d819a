"""Speed and backlog of engines, as their agents measure and report them."""
