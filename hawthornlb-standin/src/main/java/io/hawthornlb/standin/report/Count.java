package io.hawthornlb.standin.report;

/** How often something came about. */
public record Count(String name, long count) {}
