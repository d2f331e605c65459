package io.hawthornlb.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.route.RouteKind;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays a few seeds; {@code -Danswers.seeds=100 -Danswers.first=1000} for others. */
class AnswerReplayTest {

  static LongStream seeds() {
    long first = Long.getLong("answers.first", 1);
    return LongStream.range(first, first + Integer.getInteger("answers.seeds", 2));
  }

  /** Guards against an answer that a caller gets and that no endpoint gave to its request. */
  @ParameterizedTest
  @MethodSource("seeds")
  void givesCallersTheAnswersToTheirRequestsAlone(long seed) throws IOException {
    List<StutteringEndpoint> endpoints = new ArrayList<>();
    try (GatewayFixture gateway = new GatewayFixture().timeout(Duration.ofMillis(400))) {
      for (int i = 0; i < 3; i++) {
        endpoints.add(
            new StutteringEndpoint(
                new DrawnReplies(seed * 3 + i, "e" + i, DrawnReplies.copiesAndBytes())));
      }
      RouteKind kind = seed % 2 == 0 ? RouteKind.IDEMPOTENT : RouteKind.ONCE;
      gateway.route(
          kind,
          2,
          false,
          true,
          endpoints.stream().map(StutteringEndpoint::address).toArray(InetSocketAddress[]::new));
      AnswerReplay replay = new AnswerReplay(gateway, endpoints).run(seed, 60);
      assertEquals(List.of(), replay.violations(), "seed " + seed);
      assertTrue(replay.count(200) > 60, "only " + replay.count(200) + " successes, seed " + seed);
    } finally {
      for (StutteringEndpoint each : endpoints) {
        each.close();
      }
    }
  }
}
