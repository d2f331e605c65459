package io.hawthornlb.core.job;

/** Says that the fold of the partition has applied further records. */
public record PartitionAdvanced() implements JobEvent {}
