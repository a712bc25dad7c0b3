"""Message streams between the processes of the system."""
