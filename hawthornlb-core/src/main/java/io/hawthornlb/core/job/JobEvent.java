package io.hawthornlb.core.job;

/** What a job coordinator reacts to. */
public interface JobEvent {}
