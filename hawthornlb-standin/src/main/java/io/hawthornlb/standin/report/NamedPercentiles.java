package io.hawthornlb.standin.report;

/** The percentiles of the total response time of one request class or workspace. */
public record NamedPercentiles(String name, Percentiles total) {}
