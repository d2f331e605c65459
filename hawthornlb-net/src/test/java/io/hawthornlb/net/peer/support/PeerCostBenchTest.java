package io.hawthornlb.net.peer.support;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.sun.management.OperatingSystemMXBean;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.peer.PeerMessage;
import io.hawthornlb.net.peer.PeerOptions;
import io.hawthornlb.net.tls.PeerSecurity;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures the CPU and memory cost of links between peers, with both ends in this process. */
@Tag("bench")
class PeerCostBenchTest {

  private static final int IDLE_SECONDS = 10;
  private static final int WARM_SECONDS = 5;
  private static final int REQUESTS = 20_000;
  private static final int PIPELINE = 64;

  private final PeerSecurity clientKeys = TestKeys.security("entry-1", "trust");
  private final PeerSecurity serverKeys = TestKeys.security("entry-2", "trust");

  @Test
  void costOfIdleLinks() throws Exception {
    for (int links : new int[] {10, 100, 400}) {
      try (PeerFixture fixture = new PeerFixture()) {
        long heapBefore = usedHeap();
        connect(fixture, links);
        long heap = usedHeap() - heapBefore;
        TimeUnit.SECONDS.sleep(WARM_SECONDS);
        long cpuBefore = eventLoopCpu();
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        double cpuMillis = (eventLoopCpu() - cpuBefore) / 1e6 / IDLE_SECONDS;
        System.out.printf(
            "idle links: %d, cpu %.2f ms/s (both ends), heap %.1f KiB a link (both ends)%n",
            links, cpuMillis, heap / 1024.0 / links);
      }
    }
    System.out.printf(
        "probe: %d bytes a frame before TLS, each way, every %d ms%n",
        4 + PeerFrameCodec.encode(PeerFrame.probe()).length,
        PeerOptions.DEFAULT.probe().toMillis());
  }

  private void connect(PeerFixture fixture, int links) {
    List<ListedProcess> peers = new ArrayList<>();
    for (int i = 0; i < links; i++) {
      InstanceId id = new InstanceId("server-" + i);
      NettyPeerServer server =
          fixture.server(id, serverKeys, new InetSocketAddress("127.0.0.1", 0));
      peers.add(PeerFixture.listed(id, server.address()));
    }
    NettyPeerClient client = fixture.client(clientKeys, PeerOptions.DEFAULT, peers);
    await().atMost(PeerFixture.LONG_TIMEOUT).until(() -> client.reachable().size() == links);
  }

  @Test
  void costOfRequests() throws Exception {
    try (PeerFixture fixture = new PeerFixture()) {
      NettyPeerServer server = fixture.server(serverKeys);
      NettyPeerClient client = fixture.client(clientKeys, PeerOptions.DEFAULT, server.address());
      run(client, REQUESTS, 1);
      long cpuBefore = processCpu();
      long[] micros = run(client, REQUESTS, 1);
      report("one at a time", micros, cpuBefore);
      cpuBefore = processCpu();
      long start = System.nanoTime();
      micros = run(client, REQUESTS, PIPELINE);
      report(PIPELINE + " at a time", micros, cpuBefore);
      double seconds = (System.nanoTime() - start) / 1e9;
      System.out.printf("%.0f requests a second, %d at a time%n", REQUESTS / seconds, PIPELINE);
    }
  }

  private static long[] run(NettyPeerClient client, int requests, int concurrency) {
    long[] micros = new long[requests];
    for (int first = 0; first < requests; first += concurrency) {
      List<CompletableFuture<PeerMessage>> batch = new ArrayList<>();
      long start = System.nanoTime();
      for (int i = 0; i < concurrency && first + i < requests; i++) {
        batch.add(PeerFixture.sendPing(client, PeerFixture.SERVER, "x", PeerFixture.LONG_TIMEOUT));
      }
      batch.forEach(CompletableFuture::join);
      long elapsed = (System.nanoTime() - start) / 1_000;
      Arrays.fill(micros, first, first + batch.size(), elapsed);
      assertEquals(Math.min(concurrency, requests - first), batch.size());
    }
    return micros;
  }

  private static void report(String label, long[] micros, long cpuBefore) {
    double cpu = (processCpu() - cpuBefore) / 1e3 / micros.length;
    Arrays.sort(micros);
    System.out.printf(
        "%s: p50 %d us, p99 %d us, cpu %.1f us a request (both ends)%n",
        label, micros[micros.length / 2], micros[micros.length * 99 / 100], cpu);
  }

  private static long processCpu() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  /** Returns the CPU time of the event loop threads, which excludes that of the JIT compilers. */
  private static long eventLoopCpu() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && thread.getThreadName().contains("EventLoop")) {
        sum += threads.getThreadCpuTime(thread.getThreadId());
      }
    }
    return sum;
  }

  private static long usedHeap() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
