package io.hawthornlb.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.TestCalls;
import io.hawthornlb.standin.TestSettings;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.support.StandinIdentity;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.Test;

class PlatformStandinTest {

  private static final String ONE_RECORD = "{\"records\":[\"YQ==\"]}";

  private static RunningStandin start(PlatformSettings.Builder settings) {
    return PlatformStandin.start(settings.build());
  }

  @Test
  void appendedRecordsAreReadBackInOrder() throws IOException {
    try (RunningStandin platform = start(PlatformSettings.builder())) {
      TestCalls calls = new TestCalls(platform);
      JsonNode appended =
          WireJson.mapper()
              .readTree(calls.post("/log/s/records", "{\"records\":[\"YQ==\",\"Yg==\"]}").body());
      calls.post("/log/s/records", "{\"records\":[\"Yw==\"]}");

      JsonNode page = calls.json("/log/s/records?from=1&max=500");

      assertEquals(0, appended.path("firstOffset").asInt());
      assertEquals(2, appended.path("count").asInt());
      assertEquals("Yg==", page.path("records").path(0).path("data").asText());
      assertEquals("Yw==", page.path("records").path(1).path("data").asText());
      assertEquals(2, page.path("records").path(1).path("offset").asInt());
      assertEquals(3, page.path("nextOffset").asInt());
      assertEquals(0, page.path("firstOffset").asInt());
      assertEquals(0, calls.json("/log/other/records?from=0").path("nextOffset").asInt());
    }
  }

  @Test
  void longPollEndsWithTheNextAppend() throws Exception {
    try (RunningStandin platform = start(PlatformSettings.builder())) {
      TestCalls calls = new TestCalls(platform);
      CompletableFuture<JsonNode> reading =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return calls.json("/log/s/records?from=0&waitMillis=9000");
                } catch (IOException e) {
                  throw new IllegalStateException(e);
                }
              });
      calls.post("/log/s/records", ONE_RECORD);

      assertEquals(1, reading.get().path("records").size());
      assertEquals(1, calls.json("/log/s/records?from=1&waitMillis=1").path("nextOffset").asInt());
    }
  }

  @Test
  void appendsOverTheRateGet429WithRetryAfter() throws IOException {
    try (RunningStandin platform =
        start(PlatformSettings.builder().appendsPerSecond(0.01).appendBurst(2))) {
      TestCalls calls = new TestCalls(platform);
      assertEquals(200, calls.post("/log/a/records", ONE_RECORD).statusCode());
      assertEquals(200, calls.post("/log/b/records", ONE_RECORD).statusCode());

      HttpResponse<String> refused = calls.post("/log/c/records", ONE_RECORD);

      assertEquals(429, refused.statusCode());
      assertTrue(refused.headers().firstValueAsLong("Retry-After").orElse(0) >= 1);
      assertEquals(0, calls.json("/log/c/records?from=0").path("nextOffset").asInt());
    }
  }

  @Test
  void readsOfExpiredOffsetsReturnTheFirstKeptOffset() throws IOException {
    try (RunningStandin platform = start(PlatformSettings.builder().retentionRecords(2))) {
      TestCalls calls = new TestCalls(platform);
      calls.post("/log/s/records", "{\"records\":[\"YQ==\",\"Yg==\",\"Yw==\"]}");

      HttpResponse<String> gone = calls.get("/log/s/records?from=0");

      assertEquals(410, gone.statusCode());
      assertEquals("{\"firstOffset\":1}", gone.body());
      assertEquals(2, calls.json("/log/s/records?from=1").path("records").size());
    }
  }

  @Test
  void malformedAppendsAreRejected() throws IOException {
    try (RunningStandin platform = start(PlatformSettings.builder())) {
      TestCalls calls = new TestCalls(platform);
      for (String body : new String[] {"{", "{}", "{\"records\":[]}", "{\"records\":[\"*\"]}"}) {
        assertEquals(400, calls.post("/log/s/records", body).statusCode(), body);
      }
    }
  }

  @Test
  void endpointsAnnounceAndWithdrawThemselves() throws IOException {
    try (RunningStandin platform = start(PlatformSettings.builder().instanceListLagMillis(0))) {
      TestCalls calls = new TestCalls(platform);
      StandinIdentity identity =
          TestSettings.identity("e-1").platform(platform.address()).announceMillis(50).build();
      RunningStandin engine =
          EngineStandin.start(TestSettings.engine("e-1").identity(identity).build());
      Awaitility.await().until(() -> stateOf(calls, "e-1").equals("live " + engine.address()));

      engine.leave();
      Awaitility.await().until(() -> stateOf(calls, "e-1").equals("leaving " + engine.address()));

      engine.close();
      assertEquals("", stateOf(calls, "e-1"));
    }
  }

  @Test
  void weightReadsAreRateLimited() throws IOException {
    try (RunningStandin platform =
        start(PlatformSettings.builder().weightsPerSecond(0.01).weightBytes(10))) {
      TestCalls calls = new TestCalls(platform);
      assertEquals(200, calls.get("/weights/m?version=1").statusCode());
      assertEquals(429, calls.get("/weights/m?version=1").statusCode());
    }
  }

  private static String stateOf(TestCalls calls, String id) throws IOException {
    for (JsonNode instance : calls.json("/instances").path("instances")) {
      if (instance.path("id").asText().equals(id)) {
        return instance.path("state").asText() + " " + instance.path("address").asText();
      }
    }
    return "";
  }
}
