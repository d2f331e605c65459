package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.RequestQuota;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Simulates, in virtual time, waves of requests from many gateways that handle few requests each,
 * to endpoints in four data centres. Counts the connections that the gateways open; each gateway
 * has a connection pool of its own.
 */
final class ConnectionReplay {

  private static final String SERVICE = "engine";
  private static final int DATA_CENTRES = 4;
  private static final int GATEWAYS = 76;
  private static final int ENDPOINTS = 64;
  private static final int SLOTS = 7;
  private static final double REQUESTS_PER_SECOND = 435;
  private static final int USE_MILLIS = 640;
  private static final int ARRIVE_MILLIS = 18_000;
  private static final int END_MILLIS = 20_000;
  private static final int TICK_MILLIS = 20;
  private static final int RENEW_MILLIS = 1_000;

  private final Random random;
  private final int keepAliveMillis;
  private final EndpointDirectory directory = new EndpointDirectory();
  private final DefaultSlotCoordinator coordinator;
  private final VirtualTime time = new VirtualTime();
  private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
  private final Map<String, Map<Long, SlotUse>> uses = new HashMap<>();
  private final Map<SlotKey, SlotRequest> waiting = new HashMap<>();
  private final Map<String, Deque<Integer>> idleConnections = new HashMap<>();
  private final Map<String, Integer> running = new HashMap<>();
  private Instant now = start;
  private long numbers;
  private int served;
  private int opened;
  private int crossed;
  private long load;

  /**
   * Result of a simulation.
   *
   * @param served requests that got a slot
   * @param opened connections that were opened for these requests
   * @param crossed requests that were sent to another data centre
   * @param load sum, over all requests, of the requests that ran at the endpoint when the request
   *     started
   */
  record Result(int served, int opened, int crossed, long load) {}

  /**
   * Creates a simulation.
   *
   * @param keepAliveMillis time for which an idle connection is kept open
   */
  ConnectionReplay(long seed, int keepAliveMillis) {
    this.random = new Random(seed);
    this.keepAliveMillis = keepAliveMillis;
    this.coordinator =
        new DefaultSlotCoordinator(
            SERVICE, directory, SlotSettings.DEFAULT, RequestQuota.UNLIMITED, fingerprint -> {});
    for (int i = 0; i < ENDPOINTS; i++) {
      InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
      directory.put(new EndpointRecord("e" + i, SERVICE, address, dataCentre(i), SLOTS, false));
    }
  }

  Result run() {
    double at = 0;
    while (at < ARRIVE_MILLIS) {
      double factor = at % 6_000 < 3_600 ? 0.39 : 1.91;
      at += -Math.log(1 - random.nextDouble()) * 1_000 / (REQUESTS_PER_SECOND * factor);
      time.at((int) at, () -> ask(random.nextInt(GATEWAYS)));
    }
    time.every(TICK_MILLIS, END_MILLIS, () -> take(coordinator.tick(now)));
    time.every(RENEW_MILLIS, END_MILLIS, this::renew);
    time.runUntil(END_MILLIS, millis -> now = start.plusMillis(millis));
    return new Result(served, opened, crossed, load);
  }

  private void ask(int gateway) {
    numbers++;
    SlotRequest request =
        SlotRequest.builder(new SlotKey("g" + gateway, numbers), SERVICE)
            .dataCentre(dataCentre(gateway))
            .maxWait(Duration.ofMillis(150))
            .build();
    waiting.put(request.key(), request);
    take(coordinator.request(request, now));
  }

  private void take(List<SlotAnswer> answers) {
    for (SlotAnswer answer : answers) {
      if (answer instanceof SlotAnswer.Granted granted) {
        use(waiting.remove(granted.key()), granted);
      } else if (answer instanceof SlotAnswer.Refused) {
        waiting.remove(answer.key());
      }
    }
  }

  private void use(SlotRequest request, SlotAnswer.Granted granted) {
    String holder = request.key().holder();
    String endpoint = granted.endpoint();
    served++;
    crossed += at(endpoint).equals(request.dataCentre()) ? 0 : 1;
    load += running.merge(endpoint, 1, Integer::sum);
    connect(holder + endpoint);
    SlotUse use =
        new SlotUse(request.key().number(), granted.incarnation(), false, 0, Duration.ZERO);
    uses.computeIfAbsent(holder, key -> new HashMap<>()).put(use.number(), use);
    int length = USE_MILLIS / 2 + random.nextInt(USE_MILLIS);
    time.at(time.now() + length, () -> end(request.key(), endpoint));
  }

  private void connect(String poolKey) {
    Deque<Integer> connections =
        idleConnections.computeIfAbsent(poolKey, key -> new ArrayDeque<>());
    connections.removeIf(since -> time.now() - since >= keepAliveMillis);
    if (connections.poll() == null) {
      opened++;
    }
  }

  private void end(SlotKey key, String endpoint) {
    running.merge(endpoint, -1, Integer::sum);
    uses.get(key.holder()).remove(key.number());
    idleConnections.get(key.holder() + endpoint).push(time.now());
    take(coordinator.release(key, SlotOutcome.ANSWERED, now));
  }

  private void renew() {
    uses.forEach((holder, held) -> coordinator.renew(holder, new ArrayList<>(held.values()), now));
  }

  private String at(String endpoint) {
    return directory.find(endpoint).orElseThrow().dataCentre();
  }

  private static String dataCentre(int number) {
    return String.valueOf((char) ('a' + number % DATA_CENTRES));
  }
}
