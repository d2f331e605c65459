package io.hawthornlb.core.job;

/** Asks to take and give out nothing new and to bring all outcomes into the log. */
public record DrainJobs() implements JobEvent {}
