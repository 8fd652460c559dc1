"""The agateferryd program, which builds, starts and stops the components of one entry host."""
