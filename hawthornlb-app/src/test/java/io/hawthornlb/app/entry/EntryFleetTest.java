package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(120)
class EntryFleetTest {

  private static final String ASK =
      "{\"model\":\"brief-llm\",\"max_tokens\":5,\"messages\":"
          + "[{\"role\":\"user\",\"content\":\"Which shoes?\"}]}";

  private TestFleet fleet;
  private EntryProcess first;
  private EntryProcess second;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    fleet.addEngine("engine-1");
    first = fleet.addEntry("entry-1");
    second = fleet.addEntry("entry-2");
    fleet.putCatalogue(first);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  @Test
  void catalogueOfOneEntryIsInForceOnTheOther() {
    fleet.awaitReady(second);

    assertEquals(200, fleet.send(TestFleet.chat(second, ASK)).statusCode());
  }

  // An operator puts an edit that rests on a revision which a colleague has replaced meanwhile.
  // Accepted, it would silently undo the colleague's edit; so it is refused and names the winner.
  @Test
  void laterOfTwoRacingEditsIsToldWhoWon() {
    fleet.awaitReady(second);
    HttpRequest stale =
        HttpRequest.newBuilder(TestFleet.uri(second, "/v1/catalogue"))
            .header("Authorization", "Bearer " + TestFleet.OPERATOR_KEY)
            .header("If-Match", "-1")
            .header("X-Author", "late")
            .PUT(
                HttpRequest.BodyPublishers.ofString(
                    new io.hawthornlb.app.settings.CatalogueWriter().write(TestFleet.catalogue())))
            .build();

    HttpResponse<String> answer = fleet.send(stale);

    assertEquals(409, answer.statusCode(), answer.body());
    assertTrue(answer.body().contains("tester"), answer.body());
  }

  // The platform goes away after the fleet has started: callers go on being served by what each
  // entry has folded.
  @Test
  void requestsAreServedWhileThePlatformIsAway() {
    fleet.awaitReady(first);
    fleet.awaitReady(second);

    fleet.platformDown();

    assertEquals(200, fleet.send(TestFleet.chat(first, ASK)).statusCode());
    assertEquals(200, fleet.send(TestFleet.chat(second, ASK)).statusCode());
  }

  // An entry is restarted while the platform is away. Without its peers it would know neither the
  // catalogue nor an endpoint, and refuse every caller that the balancer sends to it.
  @Test
  void entryThatStartsWhileThePlatformIsAwayLearnsFromItsPeers() {
    fleet.awaitReady(first);
    fleet.platformDown();

    EntryProcess third = fleet.addEntry("entry-3", List.of(TestFleet.known("entry-1", first)));

    fleet.awaitReady(third);
    assertEquals(200, fleet.send(TestFleet.chat(third, ASK)).statusCode());
  }
}
