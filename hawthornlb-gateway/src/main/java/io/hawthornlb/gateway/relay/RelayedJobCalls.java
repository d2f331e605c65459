package io.hawthornlb.gateway.relay;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.front.Responder;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.job.JobRequestRouter;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/** Answers calls about jobs that peers have forwarded. */
public final class RelayedJobCalls implements HttpCaller {

  private final JobRequestRouter router;
  private final HeaderNames names;
  private final InstantSource clock;

  /** Creates a caller whose calls a router answers locally. */
  public RelayedJobCalls(JobRequestRouter router, HeaderNames names, InstantSource clock) {
    this.router = router;
    this.names = names;
    this.clock = clock;
  }

  @Override
  public CompletionStage<HttpReply> call(HttpCall call) {
    HttpHeaders headers = new DefaultHttpHeaders();
    call.headers().forEach(headers::set);
    int query = call.path().indexOf('?');
    FrontRequest request =
        new FrontRequest(
            HttpMethod.valueOf(call.method()),
            call.path(),
            query < 0 ? call.path() : call.path().substring(0, query),
            headers.get(HttpHeaderNames.HOST, ""),
            headers,
            call.body(),
            clock.instant(),
            workspace(headers));
    CompleteResponse response = new CompleteResponse();
    LongSupplier bytes = router.answerLocally(request, response);
    return response.reply.thenApply(reply -> withSize(reply, bytes.getAsLong()));
  }

  /** Returns the workspace that the peer has determined from the caller's key. */
  private @Nullable Workspace workspace(HttpHeaders headers) {
    String name = headers.get(names.workspace());
    return name == null ? null : new Workspace(new WorkspaceId(name), null, null);
  }

  private static HttpReply withSize(HttpReply reply, long bytes) {
    Map<String, String> headers = new LinkedHashMap<>(reply.headers());
    headers.put(JobRequestRouter.PARTITION_BYTES, String.valueOf(bytes));
    return new HttpReply(reply.status(), headers, reply.body());
  }

  /** Collects the complete response. Responses about jobs are never streamed. */
  private static final class CompleteResponse implements Responder {

    private final CompletableFuture<HttpReply> reply = new CompletableFuture<>();

    @Override
    public void whole(int status, HttpHeaders headers, byte[] body) {
      Map<String, String> copied = new LinkedHashMap<>();
      headers.forEach(header -> copied.put(header.getKey(), header.getValue()));
      reply.complete(new HttpReply(status, copied, body));
    }

    @Override
    public void head(int status, HttpHeaders headers) {
      throw new UnsupportedOperationException("Answers about jobs are whole");
    }

    @Override
    public void part(ByteBuf content) {
      content.release();
      throw new UnsupportedOperationException("Answers about jobs are whole");
    }

    @Override
    public void end() {
      throw new UnsupportedOperationException("Answers about jobs are whole");
    }

    @Override
    public void breakOff() {
      reply.completeExceptionally(new IllegalStateException("The answer was broken off"));
    }

    @Override
    public boolean congested() {
      return false;
    }
  }
}
