package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.ChatFlow;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.load.support.HttpCaller.Call;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.support.WireJson;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Sends the chat completion requests of a flow and checks their answers. */
final class ChatRequests implements RequestFlow {

  private static final String PATH = "/v1/chat/completions";

  private final ChatFlow flow;
  private final long seed;
  private final HttpCaller caller;
  private final RunClock clock;
  private final Resender resender;

  ChatRequests(
      ChatFlow flow, long seed, HttpCaller caller, RunClock clock, Consumer<Outcome> onResend) {
    this.flow = flow;
    this.seed = seed;
    this.caller = caller;
    this.clock = clock;
    this.resender = new Resender(flow.resends(), Duration.ofMillis(flow.resendMillis()), onResend);
  }

  @Override
  public FlowLabel label() {
    return new FlowLabel(flow.name(), flow.requestClass(), flow.workspace());
  }

  @Override
  public List<Phase> phases() {
    return flow.phases();
  }

  @Override
  public List<Burst> bursts() {
    return flow.bursts();
  }

  @Override
  public CompletableFuture<EndedRequest> send(int number, long intendedNanos) {
    SplittableRandom random = Seeds.random(seed, flow.name(), number);
    String label = flow.name() + "-" + number + "-" + seed;
    ChatContent content = ChatContent.draw(flow.shape(), label, random);
    Call call = call(content);
    Attempt[] last = new Attempt[1];
    return resender
        .send(
            () -> {
              last[0] = new Attempt(intendedNanos);
              return flow.stream() ? stream(call, content, last[0]) : whole(call, content);
            })
        .thenApply(
            outcome ->
                new EndedRequest(
                    outcome, new Latency(last[0].tokens(), clock.nanos() - intendedNanos)));
  }

  private Call call(ChatContent content) {
    ChatBody body =
        new ChatBody(flow.service(), content.messages(), flow.stream(), content.answerTokens());
    return new Call(
        "POST",
        PATH,
        Headers.of(flow.key()),
        BodyPublishers.ofByteArray(WireJson.write(body)),
        Duration.ofMillis(flow.timeoutMillis()));
  }

  private CompletableFuture<Outcome> whole(Call call, ChatContent content) {
    return caller
        .send(call, BodyHandlers.ofString())
        .thenApply(answer -> checkWhole(answer, content))
        .exceptionally(Refusals::failure);
  }

  private static Outcome checkWhole(HttpResponse<String> answer, ChatContent content) {
    if (Refusals.refused(answer.statusCode())) {
      return Refusals.read(answer.statusCode(), answer.headers(), answer.body());
    }
    return AnswerChecks.completion(answer.body(), content.expected());
  }

  private CompletableFuture<Outcome> stream(Call call, ChatContent content, Attempt attempt) {
    StreamBody body = new StreamBody(clock, attempt.reader);
    return caller
        .send(call, info -> body.subscriber())
        .thenApply(answer -> checkStream(answer, content, attempt))
        .exceptionally(
            failure -> {
              body.cancel();
              return attempt.tokens().isEmpty()
                  ? Refusals.failure(failure)
                  : Outcome.cut("connection-lost");
            });
  }

  private static Outcome checkStream(
      HttpResponse<StreamBody> answer, ChatContent content, Attempt attempt) {
    if (Refusals.refused(answer.statusCode())) {
      return Refusals.read(answer.statusCode(), answer.headers(), answer.body().text());
    }
    return attempt.reader.outcome(content.expected());
  }

  /** One attempt to send a request, with the arrival times of its tokens. */
  private static final class Attempt {

    private final long intendedNanos;
    private final StreamReader reader = new StreamReader();

    Attempt(long intendedNanos) {
      this.intendedNanos = intendedNanos;
    }

    List<Long> tokens() {
      return reader.tokenNanos().stream().map(at -> at - intendedNanos).toList();
    }
  }
}
