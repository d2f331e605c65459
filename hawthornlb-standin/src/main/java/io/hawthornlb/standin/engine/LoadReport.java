package io.hawthornlb.standin.engine;

/**
 * The load report of an engine.
 *
 * @param asOf the time at which the engine had this load
 * @param running the number of sequences that hold a slot
 * @param waiting the number of sequences that wait for a slot
 * @param slots the number of slots
 * @param kvUsedTokens the number of KV cache tokens reserved by running sequences
 * @param kvTotalTokens the KV cache capacity in tokens
 * @param tokensPerSecond the number of tokens generated per second, averaged over about the last
 *     second
 */
public record LoadReport(
    String asOf,
    int running,
    int waiting,
    int slots,
    int kvUsedTokens,
    int kvTotalTokens,
    double tokensPerSecond) {}
