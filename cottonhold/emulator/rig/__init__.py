"""Processes of the program, engines and clients with scripted faults between them, and a judge from
outside.
"""
