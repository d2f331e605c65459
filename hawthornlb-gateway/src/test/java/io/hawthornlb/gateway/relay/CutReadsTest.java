package io.hawthornlb.gateway.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.http.HttpCall;
import io.hawthornlb.gateway.http.HttpCallException;
import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.peer.GatewayInstance;
import io.hawthornlb.gateway.store.KeyedFollower;
import io.hawthornlb.gateway.store.LogStore;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A fleet whose readers all lose their connections to the store at the same moment.
 *
 * <p>For a second and more a configuration in force is not served: requests of new routes get 404,
 * seconds after the operator was told that the change is in force. The store went silent for a
 * second, in which the change was made, then forgot its history and cut all waiting reads. Each
 * instance took its cut read for a store that is away, had its peers read in its place, and refused
 * to read for them. What was to find out that the store answers was a read that waits 2 s.
 */
class CutReadsTest {

  private static final Duration PROMPT = KeyedFollower.waitWithin(Duration.ofSeconds(2));

  /** Instances; as many as a middle-sized site has. */
  private static final int INSTANCES = 13;

  /** Time within which a change is to be in force everywhere. */
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  /** Time from an instance to its peer. */
  private static final Duration TRIP = Duration.ofMillis(2);

  private static final String URGENT = "config";
  private static final String ENDPOINTS = "endpoints";
  private static final String UNHURRIED = "instances";

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore log = new InMemoryLogStore(time.loop(), 1);
  private final StoreOverCalls store = new StoreOverCalls(log, time.loop());
  private final Map<String, RelayingHttpCaller> callers = new HashMap<>();
  private final List<Heard> heard = new ArrayList<>();

  /** Keeps the keys that one follower knows. */
  private static final class Heard implements KeyedFollower.Listener {

    private final String topic;
    private final TreeSet<String> keys = new TreeSet<>();

    private Heard(String topic) {
      this.topic = topic;
    }

    @Override
    public void onAll(List<KeyedRecord> records) {
      keys.clear();
      onRecords(records);
    }

    @Override
    public void onRecords(List<KeyedRecord> records) {
      for (KeyedRecord record : records) {
        if (record.value() == null) {
          keys.remove(record.key());
        } else {
          keys.add(record.key());
        }
      }
    }
  }

  @Test
  void aChangeMadeWhileReadsWereSilentIsInForceInTimeAfterTheCut() {
    put(URGENT, "v3");
    put(ENDPOINTS, "left");
    startFleet();
    time.advance(Duration.ofMillis(1_700));

    log.silence();
    time.advance(Duration.ofMillis(130));
    put(URGENT, "v5");
    drop(ENDPOINTS, "left");
    put(ENDPOINTS, "came");
    time.advance(Duration.ofMillis(1_070));
    log.forgetHistory(URGENT, 0);
    log.forgetHistory(ENDPOINTS, 0);
    log.cutReads();
    time.advance(IN_FORCE.minusMillis(1_070));

    assertEquals(INSTANCES, knowing(URGENT, "v3", "v5"));
    assertEquals(INSTANCES, knowing(ENDPOINTS, "came"));
  }

  /** The same when nothing but connections is lost: what changed is read on from the offset. */
  @Test
  void aChangeMadeWhileReadsWereSilentIsInForceInTimeWhereHistoryStays() {
    put(URGENT, "v3");
    startFleet();
    time.advance(Duration.ofMillis(1_700));
    log.silence();
    put(URGENT, "v5");
    time.advance(Duration.ofMillis(1_200));
    log.cutReads();
    time.advance(IN_FORCE.minusMillis(1_200));

    assertEquals(INSTANCES, knowing(URGENT, "v3", "v5"));
  }

  /** The same after an outage in which no call got an answer, for a change made at its end. */
  @Test
  void aChangeMadeAtTheEndOfAnOutageIsInForceInTime() {
    put(URGENT, "v3");
    startFleet();
    store.away(true);
    time.advance(Duration.ofMillis(6_300));
    store.away(false);
    put(URGENT, "v5");
    put(ENDPOINTS, "came");
    time.advance(IN_FORCE);

    assertEquals(INSTANCES, knowing(URGENT, "v3", "v5"));
    assertEquals(INSTANCES, knowing(ENDPOINTS, "came"));
  }

  /** The same for a change made some time after an outage, while reads that wait go silent. */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400, 1_600, 1_800, 2_000})
  void aChangeMadeAfterAnOutageIsInForceInTimeThoughReadsAreSilent(int millisAfter) {
    put(URGENT, "v3");
    startFleet();
    time.advance(Duration.ofMillis(700));
    store.away(true);
    time.advance(Duration.ofMillis(5_300));
    store.away(false);
    time.advance(Duration.ofMillis(millisAfter));
    log.silence();
    put(URGENT, "v5");
    put(ENDPOINTS, "came");
    time.advance(IN_FORCE);

    assertEquals(INSTANCES, knowing(URGENT, "v3", "v5"));
    assertEquals(INSTANCES, knowing(ENDPOINTS, "came"));
  }

  /** Calls are paid for, and bounded a second for all instances together. */
  @Test
  void aCutCostsEachReaderFewCalls() {
    startFleet();
    time.advance(Duration.ofMillis(1_700));
    log.silence();
    log.forgetHistory(URGENT, 0);
    int before = store.calls();
    log.cutReads();
    time.advance(Duration.ofMillis(500));

    // A read that is cut is made again, finds that its history is gone, loads and reads on.
    int readers = heard.size() + INSTANCES;
    int most = 4 * readers;
    assertTrue(store.calls() - before <= most, (store.calls() - before) + " calls");
  }

  private void startFleet() {
    for (int i = 0; i < INSTANCES; i++) {
      String name = "i" + i;
      HttpCaller direct = store.direct();
      RelayingHttpCaller caller =
          new RelayingHttpCaller(
              direct, this::asPeer, () -> others(name), time, new RecordingEventLog());
      callers.put(name, caller);
      follow(caller, URGENT, PROMPT);
      follow(caller, ENDPOINTS, PROMPT);
      follow(caller, UNHURRIED, KeyedFollower.UNHURRIED);
      hold(store.through(caller));
    }
    time.advance(Duration.ofMillis(100));
  }

  private void follow(RelayingHttpCaller caller, String topic, Duration wait) {
    Heard listener = new Heard(topic);
    heard.add(listener);
    KeyedFollower follower =
        new KeyedFollower(
            store.through(caller),
            topic,
            0,
            wait,
            time.loop(),
            time,
            new RecordingEventLog(),
            listener);
    caller.onRegained(follower::readNow);
    follower.start();
  }

  /** Reads on and on as the holder of a partition of jobs does. */
  private void hold(LogStore jobs) {
    jobs.read("jobs", 0, 0, Duration.ofSeconds(2))
        .whenComplete(
            (page, failure) ->
                time.loop()
                    .schedule(() -> hold(jobs), failure == null ? 0 : 200, TimeUnit.MILLISECONDS));
  }

  /** Answers as an instance does whom a peer asks: it refuses while it does not reach the store. */
  private CompletionStage<HttpReply> asPeer(
      GatewayInstance peer, RelayTarget target, HttpCall call) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    time.loop().schedule(() -> answer(peer, call, result), TRIP.toMillis(), TimeUnit.MILLISECONDS);
    return result;
  }

  private void answer(GatewayInstance peer, HttpCall call, CompletableFuture<HttpReply> result) {
    RelayingHttpCaller asked = callers.get(peer.name());
    if (asked == null || asked.away()) {
      result.completeExceptionally(new HttpCallException("away too", true));
      return;
    }
    store
        .direct()
        .call(call)
        .whenComplete(
            (reply, failure) -> {
              if (failure == null) {
                result.complete(reply);
              } else {
                result.completeExceptionally(failure);
              }
            });
  }

  private List<GatewayInstance> others(String name) {
    return callers.keySet().stream()
        .filter(each -> !each.equals(name))
        .sorted()
        .map(CutReadsTest::instance)
        .toList();
  }

  private static GatewayInstance instance(String name) {
    return new GatewayInstance(name, name + "~1", new InetSocketAddress("127.0.0.1", 1), "a");
  }

  private long knowing(String topic, String... keys) {
    return heard.stream()
        .filter(each -> each.topic.equals(topic) && each.keys.equals(new TreeSet<>(List.of(keys))))
        .count();
  }

  private void put(String topic, String key) {
    append(topic, new KeyedRecord(key, new byte[] {1}));
  }

  private void drop(String topic, String key) {
    append(topic, new KeyedRecord(key, null));
  }

  private void append(String topic, KeyedRecord record) {
    log.append(new AppendCall(topic, 0, List.of(record), null));
  }
}
