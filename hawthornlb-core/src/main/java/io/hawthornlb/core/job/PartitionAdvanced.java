package io.hawthornlb.core.job;

/** Tells the coordinator that the fold of the partition has applied further records. */
public record PartitionAdvanced() implements JobEvent {}
