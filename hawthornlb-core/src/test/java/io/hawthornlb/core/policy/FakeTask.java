package io.hawthornlb.core.policy;

/** One request at a simulated engine. */
final class FakeTask {

  interface Listener {

    void first();

    void done();

    void cancelled(int generated);

    void crashed();
  }

  final String id;
  final boolean batch;
  final String prefix;
  final int prefixTokens;
  final int promptTokens;
  final int outputTokens;
  final Listener listener;
  int generated;
  int prefillLeft;
  long arrivedAt;
  boolean cancelled;

  FakeTask(
      String id,
      boolean batch,
      String prefix,
      int prefixTokens,
      int promptTokens,
      int outputTokens,
      Listener listener) {
    this.id = id;
    this.batch = batch;
    this.prefix = prefix;
    this.prefixTokens = prefixTokens;
    this.promptTokens = promptTokens;
    this.outputTokens = outputTokens;
    this.listener = listener;
  }

  boolean finished() {
    return cancelled || generated >= outputTokens;
  }
}
