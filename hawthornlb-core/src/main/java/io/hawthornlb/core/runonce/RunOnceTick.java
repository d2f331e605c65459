package io.hawthornlb.core.runonce;

/** Says that time has passed; sent several times a second. */
public record RunOnceTick() implements RunOnceEvent {}
