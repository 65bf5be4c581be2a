"""The platform's list of servers: what it says, and how it is read."""
