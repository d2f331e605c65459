package io.hawthornlb.standin.load.support;

import java.net.http.HttpResponse.BodySubscriber;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Flow;
import org.jspecify.annotations.Nullable;

/** The body of a stream, read line by line as it comes. */
final class StreamBody implements Flow.Subscriber<String> {

  private static final int LONGEST_KEPT = 8_192;

  private final RunClock clock;
  private final StreamReader reader;
  private final StringBuilder text = new StringBuilder();
  private volatile Flow.@Nullable Subscription subscription;

  StreamBody(RunClock clock, StreamReader reader) {
    this.clock = clock;
    this.reader = reader;
  }

  /** Returns what the HTTP client hands the body to. */
  BodySubscriber<StreamBody> subscriber() {
    return BodySubscribers.fromLineSubscriber(this, unused -> this, StandardCharsets.UTF_8, null);
  }

  /** Stops reading, which closes the connection. */
  void cancel() {
    Flow.Subscription reading = subscription;
    if (reading != null) {
      reading.cancel();
    }
  }

  /** Returns the start of the body. */
  synchronized String text() {
    return text.toString();
  }

  @Override
  public void onSubscribe(Flow.Subscription reading) {
    subscription = reading;
    reading.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(String line) {
    reader.line(line, clock.nanos());
    keep(line);
  }

  @Override
  public void onError(Throwable failure) {
    // The answer itself fails with the same cause.
  }

  @Override
  public void onComplete() {
    // The answer itself completes.
  }

  private synchronized void keep(String line) {
    if (text.length() < LONGEST_KEPT) {
      text.append(line).append('\n');
    }
  }
}
