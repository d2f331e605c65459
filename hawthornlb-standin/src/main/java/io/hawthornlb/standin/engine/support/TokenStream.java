package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.AnswerText;
import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.engine.StreamListener;
import io.hawthornlb.standin.engine.StreamListener.Ending;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The stream of tokens that answers one request. Thread-safe.
 *
 * <p>A resumed stream gets a new run number. The stream ignores tokens of an earlier run, which the
 * engine may still deliver for the step that was in progress during the cancellation.
 */
final class TokenStream {

  private final String id;
  private final String model;
  private final List<ChatMessage> messages;
  private final Prompt prompt;
  private final String textHash;
  private final int total;
  // A listener whose reader has disconnected unsubscribes during the call that notifies it of a
  // token, while the stream iterates over this list.
  private final List<StreamListener> listeners = new CopyOnWriteArrayList<>();
  private int generated;
  private int run;
  private int runsEnded;
  private Optional<Ending> ending = Optional.empty();
  private long lastReadNanos = System.nanoTime();

  /** Creates a stream whose text depends on its prompt alone. */
  TokenStream(String id, String model, List<ChatMessage> messages, Prompt prompt, int total) {
    this(id, model, messages, prompt, prompt.hash(), total);
  }

  /**
   * Creates a stream.
   *
   * @param textHash the hash from which the text is generated
   */
  TokenStream(
      String id,
      String model,
      List<ChatMessage> messages,
      Prompt prompt,
      String textHash,
      int total) {
    this.textHash = textHash;
    this.id = id;
    this.model = model;
    this.messages = List.copyOf(messages);
    this.prompt = prompt;
    this.total = total;
  }

  /** Returns a stream that another engine has started and that can be resumed here. */
  static TokenStream imported(
      String id,
      String model,
      List<ChatMessage> messages,
      String version,
      int total,
      int generated) {
    Prompt prompt = Prompt.of(messages);
    String textHash = AnswerText.hash(prompt.hash(), version);
    TokenStream stream = new TokenStream(id, model, messages, prompt, textHash, total);
    stream.generated = generated;
    stream.ending = Optional.of(generated == total ? Ending.COMPLETE : Ending.CANCELLED);
    return stream;
  }

  String id() {
    return id;
  }

  String model() {
    return model;
  }

  List<ChatMessage> messages() {
    return messages;
  }

  Prompt prompt() {
    return prompt;
  }

  String textHash() {
    return textHash;
  }

  int total() {
    return total;
  }

  synchronized int generated() {
    return generated;
  }

  synchronized int run() {
    return run;
  }

  synchronized Optional<Ending> ending() {
    return ending;
  }

  /**
   * Replays the tokens generated so far from index {@code from} on, then notifies the listener of
   * each token generated later and of the end.
   */
  synchronized void subscribe(int from, StreamListener listener) {
    for (int index = from; index < generated; index++) {
      listener.token(index);
    }
    ending.ifPresentOrElse(listener::end, () -> listeners.add(listener));
  }

  /** Removes a listener. */
  synchronized void unsubscribe(StreamListener listener) {
    listeners.remove(listener);
    lastReadNanos = System.nanoTime();
  }

  /**
   * Adds the next token and returns true. Does nothing and returns false if the token belongs to an
   * earlier run or the stream has ended.
   */
  synchronized boolean add(int tokenRun) {
    if (tokenRun != run || ending.isPresent()) {
      return false;
    }
    int index = generated++;
    listeners.forEach(listener -> listener.token(index));
    if (generated == total) {
      end(Ending.COMPLETE);
    }
    return true;
  }

  /** Cancels the stream if it is running; returns the number of tokens generated so far. */
  synchronized int cancel() {
    if (ending.isEmpty()) {
      end(Ending.CANCELLED);
    }
    return generated;
  }

  /**
   * Takes note that a run has ended; returns false if that was noted before. A run may be cancelled
   * while the engine generates its last token.
   */
  synchronized boolean endRun(int ended) {
    if (ended < runsEnded) {
      return false;
    }
    runsEnded = ended + 1;
    return true;
  }

  /** Starts a new run of a cancelled stream; returns false if the stream is not cancelled. */
  synchronized boolean resume() {
    if (!ending.equals(Optional.of(Ending.CANCELLED))) {
      return false;
    }
    ending = Optional.empty();
    run++;
    lastReadNanos = System.nanoTime();
    return true;
  }

  /** Returns whether the stream has had no listener for longer than the given time. */
  synchronized boolean detached(long nanos) {
    return listeners.isEmpty() && System.nanoTime() - lastReadNanos > nanos;
  }

  private void end(Ending reason) {
    ending = Optional.of(reason);
    listeners.forEach(listener -> listener.end(reason));
    listeners.clear();
  }
}
