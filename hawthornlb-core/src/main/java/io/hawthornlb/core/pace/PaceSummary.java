package io.hawthornlb.core.pace;

/**
 * Current factors of the endpoints of one service.
 *
 * @param median median factor
 * @param slowest largest factor
 */
public record PaceSummary(double median, double slowest) {}
