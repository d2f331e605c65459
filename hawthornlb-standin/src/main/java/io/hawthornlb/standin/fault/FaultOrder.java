package io.hawthornlb.standin.fault;

import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /standin/faults}.
 *
 * @param kind the wire name of the kind
 * @param forMillis how long the fault lasts; 0 or absent means until it is deleted
 * @param value the milliseconds of {@code slow} and {@code lag-reports}
 * @param match text that the method and path, or for {@code crash-on} the body, must contain
 */
public record FaultOrder(
    @Nullable String kind, long forMillis, long value, @Nullable String match) {}
