package scheduler

// countIntended counts the starts that are intended and not sent.
func (c *Core) countIntended() int {
	count := len(c.intended)
	for _, g := range c.gangs {
		count += len(g.unsent)
	}
	return count
}

// tasks returns all tasks of the step. Those that are not done are known from then on.
func (s *step) tasks() []*task {
	tasks := make([]*task, s.def.Count)
	for index := range tasks {
		tasks[index] = s.task(index)
	}
	return tasks
}
