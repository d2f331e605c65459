package io.hawthornlb.standin.load.support;

import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.CallFlow;
import io.hawthornlb.standin.load.Phase;
import io.hawthornlb.standin.load.support.HttpCaller.Call;
import io.hawthornlb.standin.report.FlowLabel;
import io.hawthornlb.standin.report.Latency;
import io.hawthornlb.standin.report.Outcome;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Sends the calls of a flow to a plain service and checks their answers. */
final class ServiceCalls implements RequestFlow {

  private static final String METHOD = "POST";

  private final CallFlow flow;
  private final String runKey;
  private final HttpCaller caller;
  private final RunClock clock;
  private final CallLedger ledger;
  private final Resender resender;

  /** Creates a flow whose idempotency keys have {@code runKey}, unique to the run, as prefix. */
  ServiceCalls(
      CallFlow flow,
      String runKey,
      HttpCaller caller,
      RunClock clock,
      CallLedger ledger,
      Consumer<Outcome> onResend) {
    this.flow = flow;
    this.runKey = runKey;
    this.caller = caller;
    this.clock = clock;
    this.ledger = ledger;
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
    String key = runKey + "-" + flow.name() + "-" + number;
    String body = body(key);
    Call call = call(key, body);
    if (flow.keyed()) {
      ledger.recordSent(key);
    }
    return resender
        .send(() -> attempt(call, key, body))
        .thenApply(
            outcome -> new EndedRequest(outcome, Latency.whole(clock.nanos() - intendedNanos)));
  }

  private CompletableFuture<Outcome> attempt(Call call, String key, String body) {
    return caller
        .send(call, BodyHandlers.ofString())
        .thenApply(answer -> check(answer, body))
        .exceptionally(Refusals::failure)
        .thenApply(
            outcome -> {
              if (flow.keyed()) {
                ledger.recordOutcome(key, outcome);
              }
              return outcome;
            });
  }

  private Outcome check(HttpResponse<String> answer, String sent) {
    if (Refusals.refused(answer.statusCode())) {
      return Refusals.read(answer.statusCode(), answer.headers(), answer.body());
    }
    return AnswerChecks.echo(answer.body(), METHOD, flow.path(), sent);
  }

  private Call call(String key, String body) {
    Call call =
        new Call(
            METHOD,
            "/services/" + flow.service() + flow.path(),
            Headers.of(flow.key()),
            BodyPublishers.ofString(body),
            Duration.ofMillis(flow.timeoutMillis()));
    return flow.keyed() ? call.with("Idempotency-Key", key) : call;
  }

  private String body(String key) {
    String start = "{\"call\":\"" + key + "\",\"note\":\"";
    return start + "x".repeat(Math.max(0, flow.bodyBytes() - start.length() - 2)) + "\"}";
  }
}
