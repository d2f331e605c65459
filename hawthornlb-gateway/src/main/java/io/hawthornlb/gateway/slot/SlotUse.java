package io.hawthornlb.gateway.slot;

/**
 * A slot in use, as its holder tells it.
 *
 * @param number number of the request at its holder
 * @param endpoint id of the endpoint
 * @param batch whether a batch item runs there
 * @param rank order of the request; see {@link SlotRequest#rank()}
 */
public record SlotUse(long number, String endpoint, boolean batch, long rank) {}
