"""The callers' HTTP port, where requests are submitted, followed and cancelled."""
