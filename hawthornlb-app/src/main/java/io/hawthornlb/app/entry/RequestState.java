package io.hawthornlb.app.entry;

/** States of an online request; see {@code request.yaml}. */
enum RequestState {
  OFFERED,
  RUNNING,
  BETWEEN_ATTEMPTS,
  ANSWERED,
  ENDED
}
