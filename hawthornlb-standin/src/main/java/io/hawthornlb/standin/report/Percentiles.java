package io.hawthornlb.standin.report;

/** What a histogram says, in milliseconds. */
public record Percentiles(
    long count, double mean, double p50, double p95, double p99, double p999, double max) {}
