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

  private static final String CHAT_REQUEST =
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
  void catalogueEditReachesOtherEntry() {
    fleet.awaitReady(second);

    assertEquals(200, fleet.send(TestFleet.chat(second, CHAT_REQUEST)).statusCode());
  }

  // An operator submits an edit of a revision that another operator has replaced meanwhile. If the
  // edit were accepted, it would silently undo the other edit. The edit is therefore refused, and
  // the
  // answer names the author of the edit that was accepted.
  @Test
  void staleEditIsRefusedAndNamesAuthorOfAcceptedEdit() {
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

  // The platform becomes unreachable after the fleet has started. Each entry instance must continue
  // to
  // serve callers with the state that it has already folded.
  @Test
  void servesRequestsWhilePlatformIsDown() {
    fleet.awaitReady(first);
    fleet.awaitReady(second);

    fleet.platformDown();

    assertEquals(200, fleet.send(TestFleet.chat(first, CHAT_REQUEST)).statusCode());
    assertEquals(200, fleet.send(TestFleet.chat(second, CHAT_REQUEST)).statusCode());
  }

  // An entry instance is restarted while the platform is unreachable. Without its peers the
  // instance
  // would know neither the catalogue nor any endpoint, and would refuse every request.
  @Test
  void entryStartedWhilePlatformIsDownLearnsFromPeers() {
    fleet.awaitReady(first);
    fleet.platformDown();

    EntryProcess third = fleet.addEntry("entry-3", List.of(TestFleet.known("entry-1", first)));

    fleet.awaitReady(third);
    assertEquals(200, fleet.send(TestFleet.chat(third, CHAT_REQUEST)).statusCode());
  }
}
