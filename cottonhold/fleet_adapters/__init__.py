"""Carries out what the fleet decides: timers, datagrams and disk. Decides nothing."""
