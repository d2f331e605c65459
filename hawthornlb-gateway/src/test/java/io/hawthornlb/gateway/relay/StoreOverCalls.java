package io.hawthornlb.gateway.relay;

import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * In-memory log that is reached by HTTP calls, as a platform's log is, so that a test can place
 * callers between a reader and the log.
 *
 * <p>The body of a reply contains the number of the result. The client takes the result out of a
 * list.
 */
final class StoreOverCalls {

  /** Timeout of a call in addition to its wait. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);

  /** Network delay of a call to the log and its reply. */
  private static final Duration ROUND_TRIP = Duration.ofMillis(4);

  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  private final InMemoryLogStore log;
  private final EventLoop loop;
  private final List<Object> results = new ArrayList<>();
  private boolean unavailable;
  private int calls;

  StoreOverCalls(InMemoryLogStore log, EventLoop loop) {
    this.log = log;
    this.loop = loop;
  }

  /** Sets whether calls that arrive from now on get no reply. */
  void setUnavailable(boolean noReplies) {
    unavailable = noReplies;
  }

  /** Returns the number of calls that reached the log. */
  int calls() {
    return calls;
  }

  /** Returns a caller that calls the log directly. */
  HttpCaller direct() {
    return this::answer;
  }

  /** Returns a log store that reaches the log through a caller. */
  LogStore through(HttpCaller caller) {
    return new Client(caller);
  }

  private CompletionStage<HttpReply> answer(HttpCall call) {
    calls++;
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    loop.schedule(
        () -> result.completeExceptionally(new HttpCallException("No reply in time", false)),
        call.timeout().toMillis(),
        TimeUnit.MILLISECONDS);
    if (unavailable) {
      return result;
    }
    String[] words = call.path().split("/");
    CompletionStage<?> answer =
        words[0].equals("read")
            ? log.read(words[1], 0, Long.parseLong(words[2]), Duration.parse(words[3]))
            : log.newest(words[1], 0, null);
    answer.whenComplete(
        (page, failure) ->
            loop.schedule(
                () -> {
                  if (failure == null) {
                    results.add(page);
                    String number = String.valueOf(results.size() - 1);
                    result.complete(new HttpReply(200, number.getBytes(StandardCharsets.UTF_8)));
                  } else {
                    result.completeExceptionally(
                        HttpCallException.connectionClosed("The connection closed"));
                  }
                },
                ROUND_TRIP.toMillis(),
                TimeUnit.MILLISECONDS));
    return result;
  }

  /** Client of the log, for readers only. */
  private final class Client implements LogStore {

    private final HttpCaller caller;

    private Client(HttpCaller caller) {
      this.caller = caller;
    }

    @Override
    public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
      return call("read/" + topic + "/" + from + "/" + wait, wait).thenApply(LogPage.class::cast);
    }

    @Override
    public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
      return call("newest/" + topic, Duration.ZERO).thenApply(KeyedPage.class::cast);
    }

    private CompletionStage<Object> call(String path, Duration wait) {
      HttpCall call =
          new HttpCall(ADDRESS, "GET", path, Map.of(), new byte[0], wait.plus(CALL_TIMEOUT));
      return caller
          .call(call)
          .thenApply(
              reply ->
                  results.get(Integer.parseInt(new String(reply.body(), StandardCharsets.UTF_8))))
          .exceptionally(
              failure -> {
                throw new StoreException(StoreException.Kind.UNKNOWN, failure.getMessage());
              });
    }

    @Override
    public CompletionStage<Appended> append(AppendCall call) {
      throw new UnsupportedOperationException("not supported; this client only reads");
    }

    @Override
    public CompletionStage<GroupShare> join(GroupJoin join) {
      throw new UnsupportedOperationException("not supported; this client only reads");
    }

    @Override
    public CompletionStage<Void> leave(String group, String member) {
      throw new UnsupportedOperationException("not supported; this client only reads");
    }

    @Override
    public CompletionStage<Map<Integer, String>> owners(String group, String topic) {
      throw new UnsupportedOperationException("not supported; this client only reads");
    }
  }
}
