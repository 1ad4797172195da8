// Package crowd tests daemons against clients that do not behave: a process must live, and stay within the memory
// and the descriptors of its machine, while ordinary callers still get answers. Its tests measure the memory of
// processes, so that nothing else should run beside them.
package crowd
