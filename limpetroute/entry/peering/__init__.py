"""Other entry hosts: membership, copies, grants, relays."""
