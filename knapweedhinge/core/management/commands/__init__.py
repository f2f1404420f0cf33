"""One command per module.

A dash in the command's name is an underscore in the module's name.
"""
