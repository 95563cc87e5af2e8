"""The list of hosts by peers: its order, who relays it, whom a member follows, and the shell of these."""
