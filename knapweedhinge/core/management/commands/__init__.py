"""Commands, one a module; a dash in a command's name is an underscore here."""
