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
 * Tests a fleet whose readers all lose their connections to the store at the same time.
 *
 * <p>Guards against a configuration that takes effect more than a second late: requests of new
 * routes get 404, seconds after the operator was told that the change is in force. The store went
 * silent for a second, in which the change was made, then lost its history and cut all waiting
 * reads. Each instance considered the store unavailable because of its cut read. It sent its reads
 * to peers, and refused to read for them. The probe that could show the store to be available was a
 * read that waits 2 s.
 */
class CutReadsTest {

  private static final Duration PROMPT_WAIT = KeyedFollower.waitWithin(Duration.ofSeconds(2));

  /** Number of instances; a medium-sized site has this many. */
  private static final int INSTANCES = 13;

  /** Time within which a change must take effect everywhere. */
  private static final Duration IN_FORCE = Duration.ofSeconds(2);

  /** One-way network delay between an instance and a peer. */
  private static final Duration ONE_WAY_DELAY = Duration.ofMillis(2);

  private static final String CONFIG_TOPIC = "config";
  private static final String ENDPOINTS_TOPIC = "endpoints";
  private static final String INSTANCES_TOPIC = "instances";

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore log = new InMemoryLogStore(time.loop(), 1);
  private final StoreOverCalls store = new StoreOverCalls(log, time.loop());
  private final Map<String, RelayingHttpCaller> callers = new HashMap<>();
  private final List<RecordingListener> listeners = new ArrayList<>();

  /** Records the keys that one follower knows. */
  private static final class RecordingListener implements KeyedFollower.Listener {

    private final String topic;
    private final TreeSet<String> keys = new TreeSet<>();

    private RecordingListener(String topic) {
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
  void aChangeMadeDuringSilentReadsTakesEffectInTimeAfterTheCut() {
    put(CONFIG_TOPIC, "v3");
    put(ENDPOINTS_TOPIC, "left");
    startFleet();
    time.advance(Duration.ofMillis(1_700));

    log.silence();
    time.advance(Duration.ofMillis(130));
    put(CONFIG_TOPIC, "v5");
    drop(ENDPOINTS_TOPIC, "left");
    put(ENDPOINTS_TOPIC, "came");
    time.advance(Duration.ofMillis(1_070));
    log.forgetHistory(CONFIG_TOPIC, 0);
    log.forgetHistory(ENDPOINTS_TOPIC, 0);
    log.cutReads();
    time.advance(IN_FORCE.minusMillis(1_070));

    assertEquals(INSTANCES, followersThatKnow(CONFIG_TOPIC, "v3", "v5"));
    assertEquals(INSTANCES, followersThatKnow(ENDPOINTS_TOPIC, "came"));
  }

  /**
   * Checks that a change takes effect in time when only connections are lost: the follower reads
   * the change from its offset on.
   */
  @Test
  void aChangeMadeDuringSilentReadsTakesEffectInTimeIfHistoryStays() {
    put(CONFIG_TOPIC, "v3");
    startFleet();
    time.advance(Duration.ofMillis(1_700));
    log.silence();
    put(CONFIG_TOPIC, "v5");
    time.advance(Duration.ofMillis(1_200));
    log.cutReads();
    time.advance(IN_FORCE.minusMillis(1_200));

    assertEquals(INSTANCES, followersThatKnow(CONFIG_TOPIC, "v3", "v5"));
  }

  /**
   * Checks that a change made at the end of an outage, in which no call got a reply, takes effect
   * in time.
   */
  @Test
  void aChangeMadeAtTheEndOfAnOutageTakesEffectInTime() {
    put(CONFIG_TOPIC, "v3");
    startFleet();
    store.setUnavailable(true);
    time.advance(Duration.ofMillis(6_300));
    store.setUnavailable(false);
    put(CONFIG_TOPIC, "v5");
    put(ENDPOINTS_TOPIC, "came");
    time.advance(IN_FORCE);

    assertEquals(INSTANCES, followersThatKnow(CONFIG_TOPIC, "v3", "v5"));
    assertEquals(INSTANCES, followersThatKnow(ENDPOINTS_TOPIC, "came"));
  }

  /**
   * Checks that a change made some time after an outage takes effect in time, while waiting reads
   * are silent.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 200, 400, 600, 800, 1_000, 1_200, 1_400, 1_600, 1_800, 2_000})
  void aChangeMadeAfterAnOutageTakesEffectInTimeThoughReadsAreSilent(int millisAfter) {
    put(CONFIG_TOPIC, "v3");
    startFleet();
    time.advance(Duration.ofMillis(700));
    store.setUnavailable(true);
    time.advance(Duration.ofMillis(5_300));
    store.setUnavailable(false);
    time.advance(Duration.ofMillis(millisAfter));
    log.silence();
    put(CONFIG_TOPIC, "v5");
    put(ENDPOINTS_TOPIC, "came");
    time.advance(IN_FORCE);

    assertEquals(INSTANCES, followersThatKnow(CONFIG_TOPIC, "v3", "v5"));
    assertEquals(INSTANCES, followersThatKnow(ENDPOINTS_TOPIC, "came"));
  }

  /**
   * Guards against too many calls after a cut: each call costs money, and the calls of all
   * instances together are limited per second.
   */
  @Test
  void aCutCostsEachReaderFewCalls() {
    startFleet();
    time.advance(Duration.ofMillis(1_700));
    log.silence();
    log.forgetHistory(CONFIG_TOPIC, 0);
    int before = store.calls();
    log.cutReads();
    time.advance(Duration.ofMillis(500));

    // Each reader repeats its cut read, finds that its history is gone, loads the list and reads
    // on.
    int readers = listeners.size() + INSTANCES;
    int maxCalls = 4 * readers;
    assertTrue(store.calls() - before <= maxCalls, (store.calls() - before) + " calls");
  }

  private void startFleet() {
    for (int i = 0; i < INSTANCES; i++) {
      String name = "i" + i;
      HttpCaller direct = store.direct();
      RelayingHttpCaller caller =
          new RelayingHttpCaller(
              direct, this::callPeer, () -> others(name), time, new RecordingEventLog());
      callers.put(name, caller);
      follow(caller, CONFIG_TOPIC, PROMPT_WAIT);
      follow(caller, ENDPOINTS_TOPIC, PROMPT_WAIT);
      follow(caller, INSTANCES_TOPIC, KeyedFollower.RELAXED_WAIT);
      holdPartition(store.through(caller));
    }
    time.advance(Duration.ofMillis(100));
  }

  private void follow(RelayingHttpCaller caller, String topic, Duration wait) {
    RecordingListener listener = new RecordingListener(topic);
    listeners.add(listener);
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
    caller.onStoreRecovered(follower::readNow);
    follower.start();
  }

  /** Reads continuously, as the holder of a partition of jobs does. */
  private void holdPartition(LogStore jobs) {
    jobs.read("jobs", 0, 0, Duration.ofSeconds(2))
        .whenComplete(
            (page, failure) ->
                time.loop()
                    .schedule(
                        () -> holdPartition(jobs),
                        failure == null ? 0 : 200,
                        TimeUnit.MILLISECONDS));
  }

  /**
   * Replies as an instance that a peer calls: refuses the call while the instance cannot reach the
   * store.
   */
  private CompletionStage<HttpReply> callPeer(
      GatewayInstance peer, RelayTarget target, HttpCall call) {
    CompletableFuture<HttpReply> result = new CompletableFuture<>();
    time.loop()
        .schedule(
            () -> answer(peer, call, result), ONE_WAY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    return result;
  }

  private void answer(GatewayInstance peer, HttpCall call, CompletableFuture<HttpReply> result) {
    RelayingHttpCaller peerCaller = callers.get(peer.name());
    if (peerCaller == null || peerCaller.storeUnavailable()) {
      result.completeExceptionally(
          new HttpCallException("the peer cannot reach the store either", true));
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

  private long followersThatKnow(String topic, String... keys) {
    return listeners.stream()
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
