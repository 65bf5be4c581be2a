"""The platform's list of servers: its entries and how it is read."""
