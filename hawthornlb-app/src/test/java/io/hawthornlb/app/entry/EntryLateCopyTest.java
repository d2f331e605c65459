package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.standin.RunningStandin;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(120)
class EntryLateCopyTest {

  private static final int ROUNDS = 6;

  private final ObjectMapper mapper = new ObjectMapper();
  private TestFleet fleet;
  private RunningStandin engine;
  private RunningStandin service;
  private EntryProcess entry;

  @BeforeEach
  void startFleet() {
    fleet = new TestFleet();
    engine = fleet.addEngine("engine-1");
    service = fleet.addService("service-1");
    entry = fleet.addEntry("entry-1");
    fleet.putCatalogue(entry);
    fleet.awaitReady(entry);
  }

  @AfterEach
  void stopFleet() {
    fleet.close();
  }

  /** Guards against a caller that gets the answer to another caller's chat. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void passesNoCopyOnToAnotherChat(boolean stream) throws IOException {
    List<String> questions = List.of("Which shoes?", "Which gate?");
    List<String> answers =
        List.of(text(chat(questions.get(0), stream)), text(chat(questions.get(1), stream)));
    fleet.fault(engine, "late-copy");
    int answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      HttpResponse<String> answer = chat(questions.get(round % 2), stream);
      if (answer.statusCode() == 200 && answer.body().length() > 0) {
        answered++;
        assertEquals(answers.get(round % 2), text(answer), "round " + round);
      }
    }
    assertTrue(answered > 0, "no chat was answered");
  }

  /** Guards against a caller that gets the answer to another caller's call to a plain service. */
  @Test
  void passesNoCopyOnToAnotherCall() {
    fleet.fault(service, "late-copy");
    for (int round = 0; round < ROUNDS; round++) {
      String path = "/checkins/" + round;
      HttpResponse<String> answer =
          fleet.send(
              TestFleet.to(entry, "/services/checkin-app" + path)
                  .POST(HttpRequest.BodyPublishers.ofString("{}"))
                  .build());
      if (answer.statusCode() == 200) {
        assertTrue(answer.body().contains(path + "\""), answer.body());
      }
    }
  }

  private HttpResponse<String> chat(String question, boolean stream) {
    String body =
        "{\"model\":\"brief-llm\",\"max_tokens\":6,\"stream\":"
            + stream
            + ",\"messages\":[{\"role\":\"user\",\"content\":\""
            + question
            + "\"}]}";
    return fleet.send(TestFleet.chat(entry, body));
  }

  /** Returns the text of an answer; of a stream, that of all its events. */
  private String text(HttpResponse<String> answer) throws IOException {
    if (answer.body().startsWith("{")) {
      return mapper.readTree(answer.body()).at("/choices/0/message/content").asText();
    }
    StringBuilder text = new StringBuilder();
    for (String line : answer.body().lines().toList()) {
      if (line.startsWith("data: {")) {
        String event = line.substring("data: ".length());
        text.append(mapper.readTree(event).at("/choices/0/delta/content").asText());
      }
    }
    return text.toString();
  }
}
