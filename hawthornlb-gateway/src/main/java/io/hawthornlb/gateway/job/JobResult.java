package io.hawthornlb.gateway.job;

/**
 * Outcome of an item, at its position among the results of its job.
 *
 * @param itemId id of the item
 * @param completed whether the text is the item's whole output; false if it was given up
 * @param text data of all events, joined by line feeds
 */
public record JobResult(String itemId, boolean completed, String text) {}
