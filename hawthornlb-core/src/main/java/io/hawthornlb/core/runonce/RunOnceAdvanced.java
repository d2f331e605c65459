package io.hawthornlb.core.runonce;

/** Says that the fold of the partition has applied further records. */
public record RunOnceAdvanced() implements RunOnceEvent {}
