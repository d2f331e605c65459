package io.hawthornlb.standin.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.TestCalls;
import io.hawthornlb.standin.TestSettings;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ServiceStandinTest {

  @Test
  void echoesAndCountsCallsByKey() throws IOException {
    try (RunningStandin service = ServiceStandin.start(TestSettings.service("s-1"))) {
      TestCalls calls = new TestCalls(service);
      calls.post("/gate/7?late=1", "hello", "Idempotency-Key", "k-1");
      JsonNode echo =
          WireJson.mapper()
              .readTree(calls.post("/gate/7?late=1", "hello", "Idempotency-Key", "k-1").body());
      calls.get("/");
      calls.put("/x", "{}");
      calls.delete("/x");

      assertEquals("POST", echo.path("method").asText());
      assertEquals("/gate/7?late=1", echo.path("path").asText());
      assertEquals("hello", echo.path("body").asText());
      assertEquals(2, echo.path("call").asInt());
      assertEquals(
          Echo.checksum("POST", "/gate/7?late=1", "hello".getBytes(StandardCharsets.UTF_8)),
          echo.path("checksum").asText());
      JsonNode counts = calls.json("/standin/calls");
      assertEquals(5, counts.path("total").asInt());
      assertEquals(3, counts.path("withoutKey").asInt());
      assertEquals(2, counts.path("calls").path("k-1").asInt());
    }
  }
}
