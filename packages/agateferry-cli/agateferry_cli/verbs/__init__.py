"""One module for each verb of the command line."""
