package io.hawthornlb.core.runonce;

/** What a run-once coordinator reacts to. */
public interface RunOnceEvent {}
