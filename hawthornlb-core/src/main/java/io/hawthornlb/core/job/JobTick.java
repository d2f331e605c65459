package io.hawthornlb.core.job;

/** Tells the coordinator to check its timeouts; sent several times a second. */
public record JobTick() implements JobEvent {}
