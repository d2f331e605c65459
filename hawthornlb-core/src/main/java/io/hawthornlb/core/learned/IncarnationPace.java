package io.hawthornlb.core.learned;

/**
 * Long-term pace of one incarnation of an endpoint.
 *
 * @param born Unix time of the incarnation's start in milliseconds; -1 if not reported
 * @param factor time that work takes there, relative to the usual endpoint of the service
 */
public record IncarnationPace(long born, double factor) {}
