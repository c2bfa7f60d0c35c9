"""Timing by route: schedules, retry budgets and limits. Decides without I/O or clock."""
