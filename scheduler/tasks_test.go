package scheduler

// tasks returns all tasks of the step. Those that are not done are known from then on.
func (s *step) tasks() []*task {
	tasks := make([]*task, s.def.Count)
	for index := range tasks {
		tasks[index] = s.task(index)
	}
	return tasks
}
