"""The daemon: settings in, parts built, started and stopped in order."""
