"""Processes of the program, engines and clients with scripted faults between them, and a checker from
outside.
"""
