package io.hawthornlb.standin.report;

/** The number of occurrences of one named cause, such as the reason of a refusal. */
public record Count(String name, long count) {}
