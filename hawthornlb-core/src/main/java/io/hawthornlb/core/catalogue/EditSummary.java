package io.hawthornlb.core.catalogue;

/**
 * An accepted edit in short.
 *
 * @param editId the edit
 * @param author who made it
 * @param revision the revision that it made
 */
public record EditSummary(String editId, String author, long revision) {}
