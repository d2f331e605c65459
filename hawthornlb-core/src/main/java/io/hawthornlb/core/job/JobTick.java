package io.hawthornlb.core.job;

/** Says that time has passed; sent several times a second. */
public record JobTick() implements JobEvent {}
