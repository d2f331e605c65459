package io.hawthornlb.core.model;

/** What a refusal states about the execution of the refused request. */
public enum RunStatus {
  /** No endpoint has received the request, and none will. */
  NOT_RUN("not-run"),
  /** An endpoint may have executed the request, fully or in part. */
  MAY_HAVE_RUN("may-have-run");

  private final String wireName;

  RunStatus(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the value of the {@code run} member of a problem document. */
  public String wireName() {
    return wireName;
  }
}
