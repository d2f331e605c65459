package io.hawthornlb.app.entry;

/** Events of an online request; see {@code request.yaml}. */
enum RequestEvent {
  /** The request was sent to an endpoint. */
  STARTED,
  /** The attempt at the endpoint failed. */
  FAILED,
  /** The endpoint answered the request, or the request was cancelled at the endpoint. */
  LEFT,
  /** The caller received the final answer or disconnected. */
  ENDED
}
