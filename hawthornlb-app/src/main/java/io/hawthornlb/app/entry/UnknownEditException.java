package io.hawthornlb.app.entry;

/**
 * Thrown when an edit is in the log but its outcome is no longer known. The caller can read the
 * catalogue to find out whether the edit was applied.
 */
public class UnknownEditException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for an edit. */
  public UnknownEditException(String editId) {
    super("the outcome of edit " + editId + " is no longer known; read the catalogue");
  }
}
