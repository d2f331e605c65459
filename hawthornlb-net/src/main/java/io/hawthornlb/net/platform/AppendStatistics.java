package io.hawthornlb.net.platform;

/**
 * Counters of the append calls and records of a {@link LogWriter}.
 *
 * @param calls append calls, including resends
 * @param records records in these calls, including resends
 * @param failedCalls append calls without a usable response
 * @param recordsGivenUp records that were rejected or are no longer resent
 * @param callsLastSecond append calls in the last whole second
 * @param pending records that are waiting now
 */
public record AppendStatistics(
    long calls,
    long records,
    long failedCalls,
    long recordsGivenUp,
    long callsLastSecond,
    int pending) {}
