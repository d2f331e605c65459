package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.event.JsonEventLog;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.http.NettyHttpCaller;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.loop.AccountedEventLoop;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * Runs two gateways on loopback, with a log in memory and an endpoint that answers, and sends them
 * requests of each kind.
 *
 * <p>Purpose: the build runs it to record the classes of a start and of the first requests in an
 * archive, which a new process maps instead of reading and checking each class.
 */
public final class TrialRun {

  private static final Duration CALL_TIME = Duration.ofSeconds(5);
  private static final Duration STOP_TIME = Duration.ofSeconds(1);
  private static final int PARTITIONS = 2;

  private final SourceFormats formats;
  private final JobFormat jobFormat;
  private final HeaderNames names;

  /**
   * A call to the gateway.
   *
   * @param method method
   * @param path path and query
   * @param headers headers
   * @param body body
   */
  public record Call(String method, String path, Map<String, String> headers, byte[] body) {}

  /** Creates a run with the formats of a platform. */
  public TrialRun(SourceFormats formats, JobFormat jobFormat, HeaderNames names) {
    this.formats = formats;
    this.jobFormat = jobFormat;
    this.names = names;
  }

  /**
   * Runs two gateways, of which the first coordinates, and returns the status of each call.
   *
   * @param config a configuration
   * @param endpoint an endpoint's entry, in which {@code %s} stands for its address
   * @param calls calls to make at the gateway of a name, one after the other
   */
  public List<Integer> run(byte[] config, String endpoint, Function<String, List<Call>> calls) {
    EventLoop loop = AccountedEventLoop.create();
    InMemoryLogStore store = new InMemoryLogStore(loop, PARTITIONS);
    InetSocketAddress served = new LoopbackEndpoint(loop, names).address();
    String address = served.getAddress().getHostAddress() + ":" + served.getPort();
    put(store, formats.configTopic(), formats.configKey(), config);
    put(store, formats.endpointTopic(), "trial", endpoint.formatted(address).getBytes());
    InstantSource clock = new SteadyClock(InstantSource.system());
    EventLog log = new JsonEventLog(clock, OutputStream.nullOutputStream());
    HttpCaller caller = new NettyHttpCaller(loop);
    List<GatewayProcess> processes = new ArrayList<>();
    List<GatewaySettings> all = List.of(settings("coordinator", 2), settings("other", 1));
    for (GatewaySettings settings : all) {
      processes.add(
          new GatewayProcess(
              settings, loop, StoreAccess.local(store), formats, jobFormat, names, clock, log));
      awaitReady(caller, settings.ready());
    }
    changeEndpoints(store, endpoint.formatted(address));
    List<Integer> statuses = new ArrayList<>();
    for (GatewaySettings settings : all) {
      calls
          .apply(settings.self().name())
          .forEach(call -> statuses.add(status(caller, settings.front(), call)));
    }
    processes.forEach(GatewayProcess::stop);
    loop.shutdownGracefully();
    return statuses;
  }

  /** Lists another endpoint, and takes it off the list at once. */
  private void changeEndpoints(InMemoryLogStore store, String entry) {
    put(store, formats.endpointTopic(), "second", entry.getBytes());
    put(store, formats.endpointTopic(), "second", null);
  }

  private static void put(
      InMemoryLogStore store, String topic, String key, byte @Nullable [] value) {
    store.append(new AppendCall(topic, 0, List.of(new KeyedRecord(key, value)), null));
  }

  private static void awaitReady(HttpCaller caller, InetSocketAddress ready) {
    Call question = new Call("GET", "/ready", Map.of(), new byte[0]);
    int tries = 0;
    while (status(caller, ready, question) != 200 && tries < 1_000) {
      tries++;
    }
  }

  private static int status(HttpCaller caller, InetSocketAddress address, Call call) {
    HttpCall whole =
        new HttpCall(address, call.method(), call.path(), call.headers(), call.body(), CALL_TIME);
    try {
      return caller.call(whole).thenApply(HttpReply::status).toCompletableFuture().join();
    } catch (CompletionException e) {
      throw new IllegalStateException("The trial gateway did not answer " + call.path(), e);
    }
  }

  private static GatewaySettings settings(String name, double cores) {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket front = new ServerSocket(0, 1, loopback);
        ServerSocket ready = new ServerSocket(0, 1, loopback);
        ServerSocket metrics = new ServerSocket(0, 1, loopback);
        ServerSocket relay = new ServerSocket(0, 1, loopback);
        DatagramSocket peer = new DatagramSocket(relay.getLocalPort(), loopback)) {
      InetSocketAddress peerAddress = new InetSocketAddress(loopback, peer.getLocalPort());
      return new GatewaySettings(
          new GatewayInstance(name, name + "~1", peerAddress, "trial", cores),
          new InetSocketAddress(loopback, front.getLocalPort()),
          new InetSocketAddress(loopback, ready.getLocalPort()),
          new InetSocketAddress(loopback, metrics.getLocalPort()),
          STOP_TIME,
          STOP_TIME,
          STOP_TIME,
          PARTITIONS);
    } catch (IOException e) {
      throw new UncheckedIOException("No free port on loopback", e);
    }
  }
}
