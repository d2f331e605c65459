package io.hawthornlb.core.job;

/**
 * Tells the coordinator to accept no new jobs, to dispatch no further items, and to append all
 * buffered outcomes to the log.
 */
public record DrainJobs() implements JobEvent {}
