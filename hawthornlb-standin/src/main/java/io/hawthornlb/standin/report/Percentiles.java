package io.hawthornlb.standin.report;

/** Number of values, mean, percentiles and maximum of a histogram of times in milliseconds. */
public record Percentiles(
    long count, double mean, double p50, double p95, double p99, double p999, double max) {}
