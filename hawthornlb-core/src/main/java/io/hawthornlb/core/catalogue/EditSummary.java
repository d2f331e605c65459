package io.hawthornlb.core.catalogue;

/**
 * Summary of an accepted edit.
 *
 * @param editId id of the edit
 * @param author author of the edit
 * @param revision revision that the edit made
 */
public record EditSummary(String editId, String author, long revision) {}
