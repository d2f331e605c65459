package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.event.JsonEventLog;
import io.hawthornlb.gateway.front.RevocationPolicy;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.http.NettyHttpCaller;
import io.hawthornlb.gateway.job.JobFormat;
import io.hawthornlb.gateway.loop.AccountedEventLoop;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.slot.support.SchedulingTrial;
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
 * Runs two gateways on loopback with an in-memory log store and a scripted endpoint, and sends them
 * requests of each kind.
 *
 * <p>The build uses this run to record the classes that are loaded during startup and the first
 * requests in a class data sharing archive. A new process maps that archive instead of reading and
 * verifying each class.
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
   * @param method HTTP method
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
   * Runs two gateways, of which the first is the coordinator, and returns the status of each call.
   *
   * @param config an encoded configuration
   * @param endpoint entry of an endpoint in which {@code %s} stands for its address
   * @param calls returns the calls to send to the gateway with a given name, in order
   */
  public List<Integer> run(byte[] config, String endpoint, Function<String, List<Call>> calls) {
    EventLoop loop = AccountedEventLoop.create();
    InMemoryLogStore store = new InMemoryLogStore(loop, PARTITIONS);
    InetSocketAddress endpointAddress = new LoopbackEndpoint(loop, names).address();
    String address =
        endpointAddress.getAddress().getHostAddress() + ":" + endpointAddress.getPort();
    put(store, formats.configTopic(), formats.configKey(), config);
    put(store, formats.endpointTopic(), "trial", endpoint.formatted(address).getBytes());
    InstantSource clock = new MonotonicClock(InstantSource.system());
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
    SchedulingTrial.run();
    processes.forEach(GatewayProcess::stop);
    loop.shutdownGracefully();
    return statuses;
  }

  /** Adds another endpoint to the list and removes it at once. */
  private void changeEndpoints(InMemoryLogStore store, String entry) {
    put(store, formats.endpointTopic(), "second", entry.getBytes());
    put(store, formats.endpointTopic(), "second", null);
  }

  private static void put(
      InMemoryLogStore store, String topic, String key, byte @Nullable [] value) {
    store.append(new AppendCall(topic, 0, List.of(new KeyedRecord(key, value)), null));
  }

  private static void awaitReady(HttpCaller caller, InetSocketAddress ready) {
    Call readinessCall = new Call("GET", "/ready", Map.of(), new byte[0]);
    int attempts = 0;
    while (status(caller, ready, readinessCall) != 200 && attempts < 1_000) {
      attempts++;
    }
  }

  private static int status(HttpCaller caller, InetSocketAddress address, Call call) {
    HttpCall httpCall =
        new HttpCall(address, call.method(), call.path(), call.headers(), call.body(), CALL_TIME);
    try {
      return caller.call(httpCall).thenApply(HttpReply::status).toCompletableFuture().join();
    } catch (CompletionException e) {
      throw new IllegalStateException("the trial gateway did not answer " + call.path(), e);
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
          RevocationPolicy.LENIENT,
          STOP_TIME,
          PARTITIONS);
    } catch (IOException e) {
      throw new UncheckedIOException("no free port on loopback", e);
    }
  }
}
