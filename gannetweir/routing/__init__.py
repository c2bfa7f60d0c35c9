"""Routing by operators' rules: schedules, retry budgets and limits. Decides without I/O or clock."""
