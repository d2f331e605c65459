package io.hawthornlb.app.entry;

/** Thrown when an edit stands in the log but its outcome is no longer known; read the catalogue. */
public class UnknownEditException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for an edit. */
  public UnknownEditException(String editId) {
    super("the outcome of edit " + editId + " is no longer known; read the catalogue");
  }
}
