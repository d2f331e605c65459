package io.hawthornlb.app.entry;

/** Events of an online request; see {@code request.yaml}. */
enum RequestEvent {
  /** It went to an endpoint. */
  STARTED,
  /** The endpoint failed it. */
  FAILED,
  /** The endpoint has answered it, or it was cancelled there. */
  LEFT,
  /** Its caller has the final answer, or has gone. */
  ENDED
}
