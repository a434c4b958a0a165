"""What an outage would cost, and what follows: who serves whose clients, and what may be taken out. Pure."""
