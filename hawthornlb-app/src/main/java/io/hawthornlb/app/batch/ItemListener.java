package io.hawthornlb.app.batch;

/**
 * Receives the progress and the outcome of one execution of an item. Called on threads of the
 * endpoint client.
 */
interface ItemListener {

  /** Called with the number of tokens received so far. */
  void progressed(int tokens);

  /** Called with the complete answer. */
  void done(String result, int tokens);

  /** Called with the failure that ended the execution. */
  void failed(Throwable error);
}
