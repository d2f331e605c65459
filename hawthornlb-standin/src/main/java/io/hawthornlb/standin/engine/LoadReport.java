package io.hawthornlb.standin.engine;

/**
 * What an engine reports of its load.
 *
 * @param asOf when it was so
 * @param running sequences in slots
 * @param waiting sequences without a slot
 * @param slots how many can run
 * @param kvUsedTokens tokens reserved by running sequences
 * @param kvTotalTokens tokens that can be reserved
 * @param tokensPerSecond tokens generated a second of late
 */
public record LoadReport(
    String asOf,
    int running,
    int waiting,
    int slots,
    int kvUsedTokens,
    int kvTotalTokens,
    double tokensPerSecond) {}
