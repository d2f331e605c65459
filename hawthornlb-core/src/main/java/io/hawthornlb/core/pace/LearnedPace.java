package io.hawthornlb.core.pace;

/**
 * Long-term pace of one endpoint.
 *
 * @param factor time that work takes there compared with the median endpoint of the service
 * @param completions number of completed uses that the factor is based on
 */
public record LearnedPace(double factor, int completions) {}
