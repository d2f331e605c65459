package io.hawthornlb.standin.load.support;

import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** The body of a streamed answer, which is read line by line as it arrives. */
final class StreamBody implements Flow.Subscriber<String> {

  private static final int MAX_KEPT_CHARACTERS = 8_192;

  private final RunClock clock;
  private final StreamReader reader;
  private final StringBuilder text = new StringBuilder();
  private volatile Flow.@Nullable Subscription subscription;

  StreamBody(RunClock clock, StreamReader reader) {
    this.clock = clock;
    this.reader = reader;
  }

  /** Returns the subscriber through which the HTTP client delivers the body. */
  BodySubscriber<StreamBody> subscriber() {
    return BodySubscribers.fromLineSubscriber(this, unused -> this, StandardCharsets.UTF_8, null);
  }

  /** Cancels the subscription, which closes the connection. */
  void cancel() {
    Flow.Subscription current = subscription;
    if (current != null) {
      current.cancel();
    }
  }

  /**
   * Returns the start of the body.
   *
   * <p>No further line is kept once 8,192 characters have been reached.
   */
  synchronized String text() {
    return text.toString();
  }

  @Override
  public void onSubscribe(Flow.Subscription current) {
    subscription = current;
    current.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(String line) {
    reader.line(line, clock.nanos());
    keep(line);
  }

  @Override
  public void onError(Throwable failure) {
    // The future of the response completes exceptionally with the same cause.
  }

  @Override
  public void onComplete() {
    // The future of the response completes.
  }

  private synchronized void keep(String line) {
    if (text.length() < MAX_KEPT_CHARACTERS) {
      text.append(line).append('\n');
    }
  }
}
