package io.hawthornlb.gateway.wire;

import static io.hawthornlb.gateway.ScriptedEndpoint.After.CLOSE;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP;
import static io.hawthornlb.gateway.ScriptedEndpoint.After.KEEP_AND_REPEAT;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.metric.MetricsText;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ConnectionCountsTest {

  private static final String OK =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody";
  private static final String LAST =
      "HTTP/1.1 200 OK\r\nTest-Id: {id}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";

  private static final EndpointIncarnation INCARNATION = EndpointIncarnation.ofUnknownStart("e0");

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final GatewayMetrics metrics = new GatewayMetrics();
  private final RecordingEventLog log = new RecordingEventLog();
  private final MetricsText text = new MetricsText(metrics);
  private final EndpointPool pool =
      new EndpointPool(loop, names(), InstantSource.system(), metrics, log);
  private int sent;

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Guards against counts that accumulate for endpoints that have left. */
  @Test
  void keepsNoCountsOfAnEndpointThatHasLeft() {
    ConnectionCounts counts = new ConnectionCounts(metrics);
    counts.opened(INCARNATION);
    counts.forget(INCARNATION);
    counts.closed(INCARNATION, ConnectionEnd.ENDPOINT_GONE);
    counts.opened(INCARNATION);
    assertTrue(text.write().contains("connections_opened_total{by=\"first\"} 2"), text.write());
  }

  /** Guards against new connections whose reason cannot be found in the metrics. */
  @Test
  void countsWhyEachConnectionWasOpened() throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP).then(LAST, CLOSE).then(OK, KEEP).then(OK, KEEP);
      call(endpoint);
      call(endpoint);
      call(endpoint);
      awaitCount("connections_closed_total{by=\"rested\"} 1");
      call(endpoint);
      awaitCount("connections_requests_total{by=\"kept\"} 1");
      awaitCount("connections_requests_total{by=\"opened\"} 3");
      awaitCount("connections_opened_total{by=\"first\"} 1");
      awaitCount("connections_opened_total{by=\"announced\"} 1");
      awaitCount("connections_opened_total{by=\"rested\"} 1");
    }
  }

  /** Guards against connections that carry an id twice, or that are closed for the second one. */
  @Test
  void opensAConnectionBesideAnIdleOneForAnIdThatItHasCarried() throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP).then(OK, KEEP).then(OK, KEEP);
      call(endpoint, "r1");
      call(endpoint, "r1");
      call(endpoint, "r2");
      awaitCount("connections_opened_total{by=\"same id\"} 1");
      awaitCount("connections_requests_total{by=\"kept\"} 1");
    }
  }

  /**
   * Guards against a connection that closes although the call that is aborted has given it back.
   */
  @Test
  void keepsTheConnectionOfAnEndedCallThatIsAborted() throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP).then(OK, KEEP);
      EndpointCall ended = call(endpoint);
      loop.submit(ended::abort).get(5, TimeUnit.SECONDS);
      call(endpoint);
      awaitCount("connections_requests_total{by=\"kept\"} 1");
    }
  }

  /** Guards against late answers of which neither logs nor metrics tell. */
  @Test
  void countsAnswersThatReachNoRequest() throws Exception {
    try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
      endpoint.then(OK, KEEP_AND_REPEAT).then(OK, KEEP);
      call(endpoint);
      call(endpoint);
      awaitCount("answers_dropped_total{by=\"other id\"} 1");
      assertTrue(log.events().contains("endpoint.answer.dropped"));
    }
  }

  private void awaitCount(String line) {
    Awaitility.await().until(() -> text.write().contains(line));
    assertTrue(text.write().contains(line));
  }

  private EndpointCall call(ScriptedEndpoint endpoint) throws Exception {
    sent++;
    return call(endpoint, "r" + sent);
  }

  private EndpointCall call(ScriptedEndpoint endpoint, String id) throws Exception {
    CompletableFuture<Void> ended = new CompletableFuture<>();
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    request.headers().set("Test-Id", id).set("Content-Length", 0);
    EndpointCall call =
        loop.submit(() -> pool.send(INCARNATION, endpoint.address(), request, new Ended(ended)))
            .get(5, TimeUnit.SECONDS);
    ended.get(5, TimeUnit.SECONDS);
    return call;
  }

  private static HeaderNames names() {
    return new HeaderNames(
        "Test-Id",
        "Test-Remaining",
        "Test-Expect",
        "Test-Not-Run",
        "Test-Signature",
        "Last-Event-Id",
        "Test-Resumes",
        "Test-Key",
        "Test-Workspace",
        headers -> Optional.empty());
  }

  /** Completes a future when the response ends. */
  private record Ended(CompletableFuture<Void> done) implements EndpointCallListener {

    @Override
    public WorkKind work() {
      return WorkKind.ANSWER;
    }

    @Override
    public void onResponse(HttpResponse response) {}

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onEnd() {
      done.complete(null);
    }

    @Override
    public void onFailure(boolean sent, String cause) {
      done.completeExceptionally(new IllegalStateException(cause));
    }
  }
}
