"""Who the other instances are and who does which duty: pure step functions and the codec of their
datagrams.
"""
