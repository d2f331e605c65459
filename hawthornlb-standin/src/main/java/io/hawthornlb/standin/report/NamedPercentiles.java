package io.hawthornlb.standin.report;

/** The percentiles of the total time of one class or workspace. */
public record NamedPercentiles(String name, Percentiles total) {}
