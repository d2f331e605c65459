package io.hawthornlb.app.entry;

/** What code does on transitions of an online request; see {@code request.yaml}. */
enum RequestAction {
  /** One more attempt has begun. */
  COUNT_ATTEMPT,
  /** No endpoint has the request any more. */
  LEAVE_ENDPOINT
}
