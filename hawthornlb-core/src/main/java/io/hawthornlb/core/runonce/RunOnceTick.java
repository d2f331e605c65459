package io.hawthornlb.core.runonce;

/**
 * Says that time has passed; sent every few milliseconds while requests are under way, and several
 * times a second otherwise.
 */
public record RunOnceTick() implements RunOnceEvent {}
