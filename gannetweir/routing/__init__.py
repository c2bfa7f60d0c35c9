"""Routing by operators' rules: routes, schedules, retry budgets and limits. No I/O, no clock."""
