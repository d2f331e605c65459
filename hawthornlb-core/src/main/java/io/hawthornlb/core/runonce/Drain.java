package io.hawthornlb.core.runonce;

/**
 * Event: the coordinator is to accept no new requests and to append every pending entry to the log,
 * so that the claim can be released.
 */
public record Drain() implements RunOnceEvent {}
