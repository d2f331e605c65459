package io.hawthornlb.gateway.front;

/** What follows when an endpoint did not answer a request whole. */
public enum NextStep {
  /** Send it to another endpoint from its start. */
  SEND_AGAIN,
  /** Go on with its stream at another endpoint, after the last event passed on. */
  RESUME,
  /** Tell the caller that it has not run, and when to come back. */
  REFUSE,
  /** Tell the caller that it failed, without a promise. */
  FAIL,
  /** End the connection, since part of an answer is out already. */
  BREAK_OFF
}
