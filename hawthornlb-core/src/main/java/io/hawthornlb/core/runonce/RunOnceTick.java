package io.hawthornlb.core.runonce;

/**
 * Event: time has passed. The event is sent every few milliseconds while requests are in progress,
 * and several times a second otherwise.
 */
public record RunOnceTick() implements RunOnceEvent {}
