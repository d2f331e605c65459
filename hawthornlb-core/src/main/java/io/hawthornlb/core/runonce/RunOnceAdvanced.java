package io.hawthornlb.core.runonce;

/** Event: the fold of the partition has applied further records. */
public record RunOnceAdvanced() implements RunOnceEvent {}
