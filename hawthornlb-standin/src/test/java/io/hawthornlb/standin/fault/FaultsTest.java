package io.hawthornlb.standin.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.TestCalls;
import io.hawthornlb.standin.TestSettings;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.platform.PlatformSettings;
import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.service.ServiceStandin;
import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FaultsTest {

  private final AtomicInteger exitCalls = new AtomicInteger();
  private RunningStandin service;
  private TestCalls calls;

  @BeforeEach
  void start() {
    service = ServiceStandin.start(TestSettings.service("s-1"), exitCalls::incrementAndGet);
    calls = new TestCalls(service);
  }

  @AfterEach
  void stop() {
    service.close();
  }

  @Test
  void downAnswers503UntilItIsDeleted() throws IOException {
    calls.fault("{\"kind\":\"down\"}");
    assertEquals(503, calls.post("/checkin", "{}").statusCode());
    assertEquals(503, calls.get("/health").statusCode());

    assertEquals(204, calls.delete("/standin/faults").statusCode());
    assertEquals(200, calls.post("/checkin", "{}").statusCode());
    assertEquals(1, calls.json("/standin/calls").path("total").asInt());
  }

  @Test
  void downAppliesToMatchingRequestsOnly() throws IOException {
    calls.fault("{\"kind\":\"down\",\"match\":\"POST /a\"}");

    assertEquals(503, calls.post("/a", "{}").statusCode());
    assertEquals(200, calls.post("/b", "{}").statusCode());
    assertEquals(200, calls.get("/a").statusCode());
  }

  @Test
  void faultEndsAfterItsDuration() throws IOException {
    calls.fault("{\"kind\":\"down\",\"forMillis\":1}");

    Awaitility.await().until(() -> calls.post("/checkin", "{}").statusCode() == 200);
  }

  @Test
  void refuseClosesTheConnectionWithoutRunningTheCall() throws IOException {
    calls.fault("{\"kind\":\"refuse\"}");
    assertThrows(IOException.class, () -> calls.post("/checkin", "{}", "Idempotency-Key", "k"));

    calls.delete("/standin/faults");
    assertEquals(0, calls.json("/standin/calls").path("total").asInt());
  }

  @Test
  void slowDelaysTheCall() throws IOException {
    calls.fault("{\"kind\":\"slow\",\"value\":200}");
    long start = System.nanoTime();
    assertEquals(200, calls.post("/checkin", "{}").statusCode());

    assertTrue(System.nanoTime() - start >= Duration.ofMillis(200).toNanos());
  }

  /** Late copies come before the next answer of their connection, and with all of their bytes. */
  @Test
  void lateCopyRepeatsEachAnswerBeforeTheNextOne() throws IOException {
    calls.fault("{\"kind\":\"late-copy\"}");
    String[] address = service.address().split(":");
    try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
      socket.setSoTimeout(5_000);
      for (String path : List.of("/first", "/second")) {
        String request = "POST " + path + " HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\n{}";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      }
      StringBuilder received = new StringBuilder();
      byte[] buffer = new byte[4_096];
      while (!received.toString().contains("/second\"")) {
        int length = socket.getInputStream().read(buffer);
        received.append(new String(buffer, 0, length, StandardCharsets.US_ASCII));
      }
      assertEquals(3, received.toString().split("HTTP/1.1 200", -1).length - 1);
      assertEquals(2, received.toString().split("/first\"", -1).length - 1);
    }
  }

  @Test
  void loseAnswerRunsTheCallAndClosesTheConnection() throws IOException {
    calls.fault("{\"kind\":\"lose-answer\"}");
    assertThrows(IOException.class, () -> calls.post("/checkin", "{}", "Idempotency-Key", "k"));

    calls.delete("/standin/faults");
    assertTrue(calls.json("/standin/calls").path("calls").path("k").asInt() >= 1);
  }

  /**
   * Emulates a connection that an intermediary has dropped without notice. The connection looks
   * open to the caller, but its data is lost, so the caller waits forever. New connections to the
   * same address work.
   */
  @Test
  void silentAffectsOpenConnectionsOnly() throws IOException {
    TestCalls old = new TestCalls(service);
    assertEquals(200, old.post("/checkin", "{}").statusCode());
    calls.fault("{\"kind\":\"silent\"}");

    assertThrows(
        HttpTimeoutException.class,
        () -> old.send(old.request("/late").GET().timeout(Duration.ofMillis(300))));
    assertEquals(200, new TestCalls(service).get("/new").statusCode());
    assertEquals(2, calls.json("/standin/calls").path("total").asInt());
  }

  @Test
  void crashOnEndsTheProcessWithoutAnAnswer() throws IOException {
    calls.fault("{\"kind\":\"crash-on\",\"match\":\"poison\"}");
    assertEquals(200, calls.post("/checkin", "{\"text\":\"fine\"}").statusCode());
    assertEquals(0, exitCalls.get());

    assertThrows(IOException.class, () -> calls.post("/checkin", "{\"text\":\"poison\"}"));
    assertTrue(exitCalls.get() >= 1);
    assertEquals(1, calls.json("/standin/calls").path("total").asInt());
  }

  @Test
  void crashWritingEndsTheProcessAfterItHasRunTheRequest() throws IOException {
    calls.fault("{\"kind\":\"crash-writing\",\"match\":\"poison\"}");
    assertEquals(200, calls.post("/checkin", "{\"text\":\"fine\"}").statusCode());
    assertThrows(IOException.class, () -> calls.post("/checkin", "{\"text\":\"poison\"}"));
    assertTrue(exitCalls.get() >= 1);
    assertTrue(calls.json("/standin/calls").path("total").asInt() >= 2);
  }

  @Test
  void leavingIsReportedInHealthWhileCallsAreServed() throws IOException {
    calls.fault("{\"kind\":\"leaving\"}");

    assertEquals(503, calls.get("/health").statusCode());
    assertTrue(calls.get("/health").body().contains("\"leaving\""));
    assertEquals(200, calls.post("/checkin", "{}").statusCode());
  }

  @Test
  void lagReportsDelaysTheLoadReport() throws IOException {
    String chat =
        "{\"model\":\"brief-llm\",\"max_tokens\":3,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
    try (RunningStandin engine = EngineStandin.start(TestSettings.engine("e-1").build())) {
      TestCalls model = new TestCalls(engine);
      String idle = model.json("/v1/load").path("asOf").asText();
      model.fault("{\"kind\":\"lag-reports\",\"value\":60000}");
      model.post("/v1/chat/completions", chat);
      assertEquals(idle, model.json("/v1/load").path("asOf").asText());

      model.delete("/standin/faults");
      Awaitility.await().until(() -> !model.json("/v1/load").path("asOf").asText().equals(idle));
    }
  }

  @Test
  void invalidFaultOrdersAreRejected() throws IOException {
    assertEquals(400, calls.post("/standin/faults", "{\"kind\":\"flood\"}").statusCode());
    assertEquals(400, calls.post("/standin/faults", "{\"kind\":\"crash-on\"}").statusCode());
    assertEquals(400, calls.post("/standin/faults", "{").statusCode());
  }

  @Test
  void everyKindOfStandinSupportsFaults() throws IOException {
    try (RunningStandin platform = PlatformStandin.start(PlatformSettings.builder().build());
        RunningStandin engine = EngineStandin.start(TestSettings.engine("e-1").build())) {
      TestCalls log = new TestCalls(platform);
      TestCalls model = new TestCalls(engine);
      assertEquals(200, log.get("/instances").statusCode());
      assertEquals(200, model.get("/v1/load").statusCode());

      log.fault("{\"kind\":\"down\"}");
      assertEquals(503, log.get("/instances").statusCode());
      assertEquals(200, model.get("/v1/load").statusCode());
      model.fault("{\"kind\":\"down\"}");
      assertEquals(503, model.get("/v1/load").statusCode());
    }
  }
}
