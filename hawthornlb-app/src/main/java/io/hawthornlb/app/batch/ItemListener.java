package io.hawthornlb.app.batch;

/** Hears of one execution of an item; called on threads of the client. */
interface ItemListener {

  /** Takes the number of tokens so far. */
  void progressed(int tokens);

  /** Takes the whole answer. */
  void done(String result, int tokens);

  /** Takes the failure that ended the execution. */
  void failed(Throwable error);
}
