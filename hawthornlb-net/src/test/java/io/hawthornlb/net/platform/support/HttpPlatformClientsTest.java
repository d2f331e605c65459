package io.hawthornlb.net.platform.support;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.membership.ListedKind;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.membership.ListedState;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.LogUnavailableException;
import io.hawthornlb.net.platform.OffsetExpiredException;
import io.hawthornlb.net.platform.PlatformUnavailableException;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HttpPlatformClientsTest {

  private static final StreamName STREAM = new StreamName("s");
  private static final PlatformTimeouts TIMEOUTS =
      new PlatformTimeouts(Duration.ofSeconds(1), Duration.ofMillis(700), Duration.ofSeconds(1));

  private FakePlatform platform;
  private HttpPlatformLogClient log;
  private HttpInstanceListClient list;

  /** Timeout of the warm-up calls, in which the JVM loads the classes of the clients. */
  private static final Duration WARM_UP = Duration.ofSeconds(30);

  // On a busy machine the first call of each kind takes more than a second after the JVM starts,
  // which is longer than the timeouts of this test. Later calls take a tenth of that.
  @BeforeAll
  static void warmUp() throws Exception {
    PlatformTimeouts warmUpTimeouts = new PlatformTimeouts(WARM_UP, WARM_UP, Duration.ZERO);
    try (FakePlatform warm = new FakePlatform();
        HttpPlatformLogClient warmLog = new HttpPlatformLogClient(warm.uri(), warmUpTimeouts);
        HttpInstanceListClient warmList = new HttpInstanceListClient(warm.uri(), warmUpTimeouts)) {
      awaitWarm(warmLog.append(STREAM, List.of(new byte[] {1})));
      awaitWarm(warmLog.read(STREAM, 0, 10, Duration.ZERO));
      awaitWarm(
          warmList.announce(process("n-1", ListedKind.ENTRY, Optional.empty(), ListedState.LIVE)));
      awaitWarm(warmList.list());
    }
  }

  private static void awaitWarm(CompletionStage<?> stage) throws Exception {
    stage.toCompletableFuture().get(WARM_UP.toSeconds(), TimeUnit.SECONDS);
  }

  @BeforeEach
  void start() throws IOException {
    platform = new FakePlatform();
    log = new HttpPlatformLogClient(platform.uri(), TIMEOUTS);
    list = new HttpInstanceListClient(platform.uri(), TIMEOUTS);
  }

  @AfterEach
  void stop() {
    log.close();
    list.close();
    platform.close();
  }

  @Test
  void readsAppendedRecords() throws Exception {
    assertEquals(0, await(log.append(STREAM, List.of(new byte[] {1}, new byte[] {2}))));
    assertEquals(2, await(log.append(STREAM, List.of(new byte[] {3}))));

    LogPage page = await(log.read(STREAM, 1, 10, Duration.ZERO));

    assertEquals(2, page.records().size());
    assertEquals(3, page.nextOffset());
    assertArrayEquals(new byte[] {2}, page.records().get(0).data());
  }

  @Test
  void returnsEmptyPageAfterWait() throws Exception {
    LogPage page = await(log.read(STREAM, 0, 10, Duration.ofMillis(50)));

    assertEquals(List.of(), page.records());
    assertEquals(0, page.nextOffset());
  }

  @Test
  void reportsFirstRetainedOffset() {
    platform.firstRetained = 7;

    OffsetExpiredException expired =
        assertInstanceOf(
            OffsetExpiredException.class, failure(log.read(STREAM, 3, 10, Duration.ZERO)));

    assertEquals(7, expired.firstOffset());
  }

  @Test
  void reportsRetryDelayOfRejectedCall() {
    platform.callsOverRate.set(1);

    LogUnavailableException refused =
        assertInstanceOf(
            LogUnavailableException.class, failure(log.append(STREAM, List.of(new byte[] {1}))));

    assertEquals(Duration.ofSeconds(1), refused.retryAfter());
  }

  @Test
  void reportsEveryKindOfOutageAsUnavailable() {
    platform.down = true;
    assertInstanceOf(
        LogUnavailableException.class, failure(log.append(STREAM, List.of(new byte[] {1}))));
    assertInstanceOf(PlatformUnavailableException.class, failure(list.list()));

    platform.close();
    assertInstanceOf(LogUnavailableException.class, failure(log.read(STREAM, 0, 1, Duration.ZERO)));
    assertInstanceOf(PlatformUnavailableException.class, failure(list.list()));
  }

  // Guards against an endless outage on a half-open connection. A device between an entry instance
  // and the platform loses the state of a connection: bytes sent on the connection vanish, while
  // new connections work. The call must end by its timeout, and the next call must use a new
  // connection.
  @Test
  void abandonsUnresponsiveConnection() throws Exception {
    await(log.append(STREAM, List.of(new byte[] {1})));
    platform.stallOpenConnections();

    assertInstanceOf(
        LogUnavailableException.class, failure(log.append(STREAM, List.of(new byte[] {2}))));

    assertEquals(1, await(log.append(STREAM, List.of(new byte[] {2}))));
  }

  // Guards against the same failure where the connection's own timeout is too long: a read with a
  // short wait uses the pool of the reads with a long wait. Cancelling the call must also close the
  // connection.
  @Test
  void abandonsUnresponsiveConnectionOnShortRead() throws Exception {
    await(log.read(STREAM, 0, 10, Duration.ZERO));
    platform.stallOpenConnections();

    assertInstanceOf(
        LogUnavailableException.class, failure(log.read(STREAM, 0, 10, Duration.ZERO)));

    assertEquals(0, await(log.read(STREAM, 0, 10, Duration.ZERO)).nextOffset());
  }

  @Test
  void listsAnnouncedProcesses() throws Exception {
    ListedProcess entry = process("n-1", ListedKind.ENTRY, Optional.empty(), ListedState.LIVE);
    ListedProcess endpoint =
        process(
            "e-1",
            ListedKind.ENDPOINT,
            Optional.of(new ServiceName("log-reader")),
            ListedState.LEAVING);
    await(list.announce(entry));
    await(list.announce(endpoint));
    assertEquals(List.of(entry, endpoint), await(list.list()).processes());

    await(list.withdraw("n-1"));

    assertEquals(List.of(endpoint), await(list.list()).processes());
  }

  private static ListedProcess process(
      String id, ListedKind kind, Optional<ServiceName> service, ListedState state) {
    return new ListedProcess(id, kind, service, new DataCentre("nadi-b"), "127.0.0.1:9001", state);
  }

  private static <T> T await(CompletionStage<T> stage) throws Exception {
    return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private static Throwable failure(CompletionStage<?> stage) {
    return assertThrows(ExecutionException.class, () -> await(stage)).getCause();
  }
}
