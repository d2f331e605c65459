package io.hawthornlb.app.entry;

/** Actions on the transitions of an online request; see {@code request.yaml}. */
enum RequestAction {
  /** Counts an attempt that has started. */
  COUNT_ATTEMPT,
  /** Clears the endpoint that has the request. */
  LEAVE_ENDPOINT
}
