package io.hawthornlb.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.ScriptedEndpoint;
import io.hawthornlb.gateway.ScriptedEndpoint.After;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.loop.WorkKind;
import io.hawthornlb.gateway.metric.GatewayMetrics;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JoinedAnswersTest {

  private static final String SUCCESS =
      "HTTP/1.1 200 OK\r\nTest-Signature: s1\r\nContent-Length: 4\r\nTest-Id: {id}\r\n\r\nbody";
  private static final String FAILURE =
      "HTTP/1.1 500 Failed\r\nTest-Id: {id}\r\nTest-Signature: s2\r\nContent-Length: 0\r\n\r\n";
  private static final HeaderNames NAMES =
      new HeaderNames(
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

  private final EventLoop loop =
      (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final EndpointPool pool =
      new EndpointPool(
          loop, NAMES, InstantSource.system(), new GatewayMetrics(), new RecordingEventLog());

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Guards against a success whose head is joined from part of a copy and from a failure. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void takesNoStatusFromAPartOfACopy(boolean late) throws Exception {
    List<Integer> wrong = new ArrayList<>();
    for (int cut = 1; cut < SUCCESS.indexOf("\r\n\r\n"); cut++) {
      String part = SUCCESS.substring(0, cut).replace("{id}", "first");
      try (ScriptedEndpoint endpoint = new ScriptedEndpoint()) {
        endpoint
            .then(late ? SUCCESS : SUCCESS + part, After.KEEP)
            .then(late ? part + FAILURE : FAILURE, After.CLOSE);
        assertEquals(200, status(endpoint, "e" + cut, "first"));
        if (status(endpoint, "e" + cut, "second") == 200) {
          wrong.add(cut);
        }
      }
    }
    assertEquals(List.of(), wrong, "lengths of the part of the copy");
  }

  /** Returns the status of the answer; 0 if the request fails without one. */
  private int status(ScriptedEndpoint endpoint, String name, String id) throws Exception {
    Outcome outcome = new Outcome();
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a");
    request.headers().set("Test-Id", id);
    EndpointIncarnation incarnation = EndpointIncarnation.ofUnknownStart(name);
    loop.execute(() -> pool.send(incarnation, endpoint.address(), request, outcome));
    return outcome.done.get(5, TimeUnit.SECONDS);
  }

  private static final class Outcome implements EndpointCallListener {

    private final CompletableFuture<Integer> done = new CompletableFuture<>();
    private int status;

    @Override
    public WorkKind work() {
      return WorkKind.ANSWER;
    }

    @Override
    public void onResponse(HttpResponse response) {
      status = response.status().code();
    }

    @Override
    public void onContent(ByteBuf content) {}

    @Override
    public void onEnd() {
      done.complete(status);
    }

    @Override
    public void onFailure(boolean sent, String cause) {
      done.complete(0);
    }
  }
}
