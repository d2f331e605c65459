package io.hawthornlb.core.runonce;

/** Asks to take nothing new and to bring everything into the log, before a release of the claim. */
public record Drain() implements RunOnceEvent {}
