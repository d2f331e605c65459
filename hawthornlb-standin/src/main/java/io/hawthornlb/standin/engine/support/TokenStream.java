package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.Prompt;
import io.hawthornlb.standin.engine.StreamListener;
import io.hawthornlb.standin.engine.StreamListener.Ending;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The answer to one request while it grows, and for a time after. Safe for use by many threads.
 *
 * <p>A stream that was cancelled and resumed runs again under another run number, so that a token
 * of the run before that is still under way does not count.
 */
final class TokenStream {

  private final String id;
  private final String model;
  private final List<ChatMessage> messages;
  private final Prompt prompt;
  private final int total;
  // A listener whose reader has gone leaves while it is told of a token, in the midst of the loop.
  private final List<StreamListener> listeners = new CopyOnWriteArrayList<>();
  private int generated;
  private int run;
  private Optional<Ending> ending = Optional.empty();
  private long lastReadNanos = System.nanoTime();

  TokenStream(String id, String model, List<ChatMessage> messages, Prompt prompt, int total) {
    this.id = id;
    this.model = model;
    this.messages = List.copyOf(messages);
    this.prompt = prompt;
    this.total = total;
  }

  /** Returns a stream that another engine began and that can be resumed here. */
  static TokenStream imported(
      String id, String model, List<ChatMessage> messages, int total, int generated) {
    TokenStream stream = new TokenStream(id, model, messages, Prompt.of(messages), total);
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

  /** Replays the tokens from an index on, then passes on those to come, and the end. */
  synchronized void read(int from, StreamListener listener) {
    for (int index = from; index < generated; index++) {
      listener.token(index);
    }
    ending.ifPresentOrElse(listener::end, () -> listeners.add(listener));
  }

  /** Ends the reading of a listener that has gone. */
  synchronized void leave(StreamListener listener) {
    listeners.remove(listener);
    lastReadNanos = System.nanoTime();
  }

  /** Adds a token of this run, and returns whether the run still counts. */
  synchronized boolean add(int ofRun) {
    if (ofRun != run || ending.isPresent()) {
      return false;
    }
    int index = generated++;
    listeners.forEach(listener -> listener.token(index));
    if (generated == total) {
      end(Ending.COMPLETE);
    }
    return true;
  }

  /** Cancels a stream that runs, and returns the tokens that it has. */
  synchronized int cancel() {
    if (ending.isEmpty()) {
      end(Ending.CANCELLED);
    }
    return generated;
  }

  /** Lets a cancelled stream run again, and returns whether it was one. */
  synchronized boolean resume() {
    if (!ending.equals(Optional.of(Ending.CANCELLED))) {
      return false;
    }
    ending = Optional.empty();
    run++;
    lastReadNanos = System.nanoTime();
    return true;
  }

  /** Returns whether nobody has read the stream for this long. */
  synchronized boolean detached(long nanos) {
    return listeners.isEmpty() && System.nanoTime() - lastReadNanos > nanos;
  }

  private void end(Ending how) {
    ending = Optional.of(how);
    listeners.forEach(listener -> listener.end(how));
    listeners.clear();
  }
}
